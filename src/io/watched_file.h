// Notices that a file has changed, whether it was replaced or written in place.
#ifndef IO_WATCHED_FILE_H_
#define IO_WATCHED_FILE_H_

#include <sys/stat.h>

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>

#include "config/yaml_reader.h"

namespace verbenastile {

class WatchedFile {
 public:
  // `text` is the content that is in use.
  WatchedFile(std::string path, std::string text)
      : path_(std::move(path)), text_(std::move(text)) {}

  // When `Check` reads the file.
  enum class When : std::uint8_t {
    kIfTouched,  // If its identity, size or time of change is another one.
    kAlways,
  };

  // Returns the content if it is not the one that was returned last; empty if
  // it is, or if the file was not read. Errors: those of `ReadConfigFile`, once
  // until the file can be read again.
  leaf::result<std::optional<std::string>> Check(When when);

  // The content that was returned last.
  const std::string& text() const { return text_; }
  const std::string& path() const { return path_; }

 private:
  struct Stamp {
    dev_t device = 0;
    ino_t inode = 0;
    off_t bytes = 0;
    // Time of the last change, in seconds and nanoseconds.
    time_t seconds = 0;
    long nanoseconds = 0;

    bool operator==(const Stamp&) const = default;
  };

  std::optional<Stamp> ReadStamp() const;

  std::string path_;
  std::string text_;
  std::optional<Stamp> stamp_;
  bool has_failed_ = false;
};

}  // namespace verbenastile

#endif  // IO_WATCHED_FILE_H_
