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

// Collects the chunks of one response body; `|` marks a final chunk.
struct Stream {
  PacedSender::WriteHandler Writer(bool wanted = true) {
    return [this, wanted](const std::string& chunk, bool last) {
      text += chunk;
      if (last) {
        text += '|';
      }
      return wanted;
    };
  }

  std::string text;
};

SCENARIO("queued bodies are sent in order at the rate of the network link") {
  asio::io_context io;
  PacedSender sender(io, SmallLink());
  Stream stream;

  // Guards against an empty final part that overtakes queued parts: the
  // receiver then takes a truncated response for a complete one.
  GIVEN("an empty final part behind data that has to wait") {
    sender.Enqueue(std::string(20'000, 'a'), stream.Writer());
    sender.Enqueue("", stream.Writer());
    CHECK(stream.text.find('|') == std::string::npos);
    io.run();
    CHECK(stream.text == std::string(20'000, 'a') + "||");
  }
  GIVEN("a receiver that no longer wants the data") {
    sender.Enqueue(std::string(2'000'000, 'a'), stream.Writer(false));
    io.run();
    CHECK(stream.text.size() < 2'000'000);
    CHECK(sender.link_state().queued_bytes == 0);
  }
}

}  // namespace
}  // namespace verbenastile
