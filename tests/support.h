// Helpers shared by the tests.
#ifndef TESTS_SUPPORT_H_
#define TESTS_SUPPORT_H_

#include <boost/leaf/handle_errors.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>

#include "config/config_error.h"

namespace verbenastile {

// Returns the value of `make()`, which returns leaf::result<T>. On an error,
// throws an exception with its text, which fails the test.
template <typename Make>
auto MustSucceed(Make make) {
  using Value = std::decay_t<decltype(make().value())>;
  return boost::leaf::try_handle_all(
      make,
      [](const ConfigError& error) -> Value {
        throw std::runtime_error(ToString(error));
      },
      []() -> Value { throw std::runtime_error("unknown error"); });
}

// Returns the error text of `make()`, one error per line; empty if it succeeds.
template <typename Make>
std::string ErrorTextOf(Make make) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(make());
        return std::string();
      },
      [](const ConfigError& error) { return ToString(error); },
      [] { return std::string("unknown error"); });
}

// A temporary file that the destructor removes.
class ScratchFile {
 public:
  explicit ScratchFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("verbenastile_" + std::to_string(++g_count) + "_" +
               std::to_string(std::hash<std::string>()(text)))) {
    std::ofstream(path_, std::ios::binary) << text;
  }
  ~ScratchFile() { std::filesystem::remove(path_); }
  ScratchFile(const ScratchFile&) = delete;
  ScratchFile& operator=(const ScratchFile&) = delete;

  std::string path() const { return path_.string(); }

 private:
  static inline int g_count = 0;
  std::filesystem::path path_;
};

}  // namespace verbenastile

#endif  // TESTS_SUPPORT_H_
