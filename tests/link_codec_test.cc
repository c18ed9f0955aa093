#include <catch2/catch.hpp>

#include "mesh/link_codec.h"

namespace verbenastile {
namespace {

GateCall CallOf(std::size_t body_bytes) {
  GateCall call;
  call.service = "booking";
  call.caller_service = "library";
  call.request_id = "9c41";
  call.rule = "r-1";
  call.method = "POST";
  call.target = "/p/q?x=1";
  call.headers = {{"Host", "a.example"}, {"X-Empty", ""}};
  call.body = std::string(body_bytes, 'b');
  call.priority = Priority::kLow;
  call.remaining = std::chrono::milliseconds(900);
  call.objective = std::chrono::milliseconds(-5);
  call.idempotent = true;
  return call;
}

// Feeds `bytes` in pieces of `piece` bytes and returns the frames.
std::vector<LinkFrame> ReadIn(const std::string& bytes, std::size_t piece) {
  LinkReader reader;
  std::vector<LinkFrame> frames;
  for (std::size_t at = 0; at < bytes.size(); at += piece) {
    reader.Append(bytes.data() + at, std::min(piece, bytes.size() - at));
    while (true) {
      auto next = reader.Next();
      auto* frame = std::get_if<std::optional<LinkFrame>>(&next);
      REQUIRE(frame != nullptr);
      if (!*frame) {
        break;
      }
      frames.push_back(std::move(**frame));
    }
  }
  return frames;
}

SCENARIO("frames are cut out of a byte stream") {
  std::string bytes;
  AppendFrame({7, CallOf(10'000)}, bytes);
  AppendFrame({7, LinkCancel{}}, bytes);
  GateAnswer answer;
  answer.status = 503;
  answer.headers = {{"A", "b"}};
  answer.body = "x";
  answer.last = true;
  answer.load = {{3, 4}, {12, std::chrono::seconds(2)}};
  answer.waited = std::chrono::milliseconds(7);
  AppendFrame({8, answer}, bytes);
  AppendFrame({0, LinkPing{}}, bytes);

  const std::size_t piece = GENERATE(1, 7, 4'096, 1'000'000);
  const auto frames = ReadIn(bytes, piece);
  REQUIRE(frames.size() == 4);
  const auto& call = std::get<GateCall>(frames[0].body);
  CHECK(frames[0].call == 7);
  CHECK(call.body == CallOf(10'000).body);
  CHECK(call.headers.size() == 2);
  CHECK(call.headers[1].value.empty());
  CHECK(call.priority == Priority::kLow);
  CHECK(call.objective == std::chrono::milliseconds(-5));
  CHECK(call.rule == "r-1");
  CHECK(call.idempotent);
  CHECK(std::holds_alternative<LinkCancel>(frames[1].body));
  const auto& read = std::get<GateAnswer>(frames[2].body);
  CHECK(read.status == 503);
  CHECK_FALSE(read.length.has_value());
  CHECK(read.load.upstream.queued == 4);
  CHECK(read.load.configuration.generation == 12);
  CHECK(read.load.configuration.age == Duration(std::chrono::seconds(2)));
  CHECK(read.waited == std::chrono::milliseconds(7));
  CHECK(std::holds_alternative<LinkPing>(frames[3].body));
}

SCENARIO("what nodes say of members and configurations is read as written") {
  std::string bytes;
  const HeldConfiguration held{3, {1, 2}};
  AppendFrame({0, LinkSuspicion{"node-7"}}, bytes);
  AppendFrame({0, LinkConfigurationWanted{held}}, bytes);
  AppendFrame({0, LinkConfiguration{{held, {4, {5, 6}}, "\x01z"}}}, bytes);
  AppendFrame({0, LinkPong{{{1, 2, std::chrono::milliseconds(9)}, {}}}}, bytes);
  AppendFrame({9, GateBroken{"reset", std::nullopt}}, bytes);

  const auto frames = ReadIn(bytes, bytes.size());
  REQUIRE(frames.size() == 5);
  CHECK(std::get<LinkSuspicion>(frames[0].body).member == "node-7");
  CHECK(std::get<LinkConfigurationWanted>(frames[1].body).held == held);
  const auto& delta = std::get<LinkConfiguration>(frames[2].body).delta;
  CHECK(delta.base == held);
  CHECK(delta.to == HeldConfiguration{4, {5, 6}});
  CHECK(delta.bytes == "\x01z");
  const auto& pong = std::get<LinkPong>(frames[3].body);
  CHECK(pong.load.upstream.link_wait == std::chrono::milliseconds(9));
  CHECK_FALSE(pong.load.configuration.age.has_value());
  CHECK_FALSE(std::get<GateBroken>(frames[4].body).load.has_value());
}

SCENARIO("bytes that are no frames are refused") {
  LinkReader reader;
  const std::string noise(64, '\xff');
  reader.Append(noise.data(), noise.size());
  CHECK(std::holds_alternative<LinkCodecError>(reader.Next()));
}

}  // namespace
}  // namespace verbenastile
