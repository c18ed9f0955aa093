#include "io/watched_file.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "support.h"

namespace verbenastile {
namespace {

// What a check found: the new text, "same", or "error".
std::string Found(WatchedFile& file,
                  WatchedFile::When when = WatchedFile::When::kIfTouched) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(text, file.Check(when));
        return text.value_or("same");
      },
      [](const ConfigError&) { return std::string("error"); },
      [] { return std::string("unknown error"); });
}

void WriteInPlace(const ScratchFile& file, std::string_view text) {
  std::ofstream(file.path(), std::ios::binary) << text;
}

void Replace(const ScratchFile& file, std::string_view text) {
  const std::string fresh = file.path() + ".new";
  std::ofstream(fresh, std::ios::binary) << text;
  std::filesystem::rename(fresh, file.path());
}

// Guards against a change that comes before the first look at the file, and is
// taken for what the process started with (rule UNASKED, review/14).
SCENARIO("a change of a file is noticed") {
  ScratchFile scratch("old");
  WatchedFile file(scratch.path(), "old");
  const auto change = GENERATE(WriteInPlace, Replace);
  const bool looked_before = GENERATE(true, false);
  CAPTURE(looked_before);
  if (looked_before) {
    CHECK(Found(file) == "same");
    CHECK(Found(file, WatchedFile::When::kAlways) == "same");
  }
  GIVEN("a change") {
    change(scratch, "newer");
    CHECK(Found(file) == "newer");
    THEN("it is returned once") {
      CHECK(Found(file) == "same");
      CHECK(Found(file, WatchedFile::When::kAlways) == "same");
    }
    THEN("so is the next one, and the one that takes it back") {
      change(scratch, "newest");
      change(scratch, "and again");
      CHECK(Found(file) == "and again");
      change(scratch, "old");
      CHECK(Found(file) == "old");
    }
  }
  GIVEN("the same content once more") {
    change(scratch, "old");
    CHECK(Found(file) == "same");
  }
  GIVEN("a file that is gone for a moment") {
    std::filesystem::remove(scratch.path());
    CHECK(Found(file) == "error");
    THEN("that is said once") {
      CHECK(Found(file) == "same");
      CHECK(Found(file, WatchedFile::When::kAlways) == "same");
    }
    change(scratch, "back");
    CHECK(Found(file) == "back");
  }
  GIVEN("a change that keeps the size and the time of change") {
    CHECK(Found(file) == "same");
    const auto time = std::filesystem::last_write_time(scratch.path());
    WriteInPlace(scratch, "odd");
    std::filesystem::last_write_time(scratch.path(), time);
    CHECK(Found(file, WatchedFile::When::kAlways) == "odd");
  }
}

}  // namespace
}  // namespace verbenastile
