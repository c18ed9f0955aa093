#include <catch2/catch.hpp>
#include <string>

#include "mesh/paced_sender.h"

namespace verbenastile {
namespace {

LinkPacerOptions SmallLink() {
  LinkPacerOptions init;
  init.link_bytes_per_second = 500'000;
  return init;
}

// Collects the pieces of one stream.
struct Stream {
  PacedSender::Write Writer(bool wanted = true) {
    return [this, wanted](const std::string& piece, bool last) {
      text += piece;
      if (last) {
        text += '|';
      }
      return wanted;
    };
  }

  std::string text;
};

SCENARIO("large answers share the machine's link") {
  asio::io_context io;
  PacedSender sender(io, SmallLink());
  Stream stream;

  // Seen on a trial: an empty last part passed the parts before it, and the
  // answer looked whole.
  GIVEN("a stream whose end is empty, and that has to wait") {
    sender.Queue(std::string(20'000, 'a'), stream.Writer());
    sender.Queue("", stream.Writer());
    CHECK(stream.text.find('|') == std::string::npos);
    io.run();
    CHECK(stream.text == std::string(20'000, 'a') + "||");
  }
  GIVEN("a receiver that has gone") {
    sender.Queue(std::string(2'000'000, 'a'), stream.Writer(false));
    io.run();
    CHECK(stream.text.size() < 2'000'000);
    CHECK(sender.link().queued_bytes == 0);
  }
}

}  // namespace
}  // namespace verbenastile
