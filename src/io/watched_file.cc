#include "io/watched_file.h"

#include <utility>

namespace verbenastile {

std::optional<WatchedFile::Stamp> WatchedFile::ReadStamp() const {
  struct stat status {};
  if (stat(path_.c_str(), &status) != 0) {
    return std::nullopt;
  }
  return Stamp{status.st_dev, status.st_ino, status.st_size,
               status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
}

leaf::result<std::optional<std::string>> WatchedFile::Check(When when) {
  const std::optional<Stamp> stamp = ReadStamp();
  const bool is_known = stamp && stamp == stamp_;
  // A file that cannot be found is looked for again each time.
  if ((is_known && when == When::kIfTouched) || (!stamp && has_failed_)) {
    return std::nullopt;
  }
  auto text = ReadConfigFile(path_);
  if (!text) {
    stamp_.reset();
    if (std::exchange(has_failed_, true)) {
      return std::nullopt;
    }
    return text.error();
  }
  // A change during the read has another stamp.
  stamp_ = stamp;
  has_failed_ = false;
  if (*text == text_) {
    return std::nullopt;
  }
  text_ = std::move(*text);
  return text_;
}

}  // namespace verbenastile
