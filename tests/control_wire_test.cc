#include <catch2/catch.hpp>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <fmt/format.h>
#include <unistd.h>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include "base/random.h"
#include "io/control_transport.h"
#include "support.h"
#include "wire/control_codec.h"

namespace verbenastile {
namespace {

using std::chrono::seconds;

// Returns the name of the error with which `bytes` are rejected; empty if they
// decode.
std::string DecodeError(std::span<const std::uint8_t> bytes) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(DecodeFrame(bytes));
        return std::string();
      },
      [](const WireError& error) { return std::string(ToString(error.kind)); },
      [] { return std::string("unknown error"); });
}

// Words of the Cap'n Proto encoding, for messages that no encoder produces.
constexpr std::uint64_t kRootFrame = (1ULL << 32) | (1ULL << 48);
constexpr std::uint64_t kDeltaKind = 3;
constexpr std::uint64_t kDeltaStruct = 3ULL << 48;
constexpr std::uint64_t kCompositeList = 1ULL | (7ULL << 32);
constexpr std::uint64_t kListOfOnePointer = 1ULL | (6ULL << 32) | (1ULL << 35);
constexpr std::uint64_t kFarPointer = 2;

// Returns a message with one segment that holds `words`, in packed encoding.
std::vector<std::uint8_t> Packed(const std::vector<std::uint64_t>& words) {
  std::vector<capnp::word> flat(words.size() + 1);
  auto* bytes = reinterpret_cast<std::uint64_t*>(flat.data());
  bytes[0] = static_cast<std::uint64_t>(words.size()) << 32;
  std::copy(words.begin(), words.end(), bytes + 1);
  kj::VectorOutputStream stream;
  capnp::_::PackedOutputStream packed(stream);
  packed.write(flat.data(), flat.size() * sizeof(capnp::word));
  const auto array = stream.getArray();
  return {array.begin(), array.end()};
}

template <typename M>
M RoundTrip(const M& message) {
  const auto bytes = EncodeFrame(DistributionMessage(message));
  CHECK(bytes.size() <= WireBytes(message));
  const ControlFrame frame = MustSucceed([&] { return DecodeFrame(bytes); });
  return std::get<M>(std::get<DistributionMessage>(frame));
}

Snapshot SnapshotOf(int rules) {
  RuleDocument document;
  document.services.push_back({"booking", {}, {}});
  for (int number = 0; number < rules; ++number) {
    Rule rule;
    rule.id = fmt::format("rule-{}", number);
    RouteAction route;
    route.targets.push_back({"booking", 1});
    rule.action = route;
    document.rules.push_back(rule);
  }
  return MakeSnapshot(3, document);
}

SCENARIO("control messages survive encoding and decoding") {
  const Snapshot snapshot = SnapshotOf(100);
  const Version version = VersionOf(snapshot);

  THEN("a complete snapshot keeps its version and digest") {
    const Delta back = RoundTrip(MakeWhole(snapshot));
    const auto made = ApplyDelta({}, back);
    REQUIRE(made);
    CHECK(VersionOf(*made) == version);
  }
  THEN("every other message keeps its fields") {
    CHECK(RoundTrip(SummaryMessage{version, true}).held == version);
    const AskMessage ask =
        RoundTrip(AskMessage{AskMessage::Form::kWhole, {}, version});
    CHECK(ask.form == AskMessage::Form::kWhole);
    CHECK(ask.wanted == version);
    CHECK(RoundTrip(DigestsMessage{version, {{1, 2}, {3, 4}}}).digests.size() ==
          2);
    CHECK(RoundTrip(ItemsAskMessage{version, {5, 6}}).indexes ==
          std::vector<std::uint32_t>{5, 6});
    CHECK(RoundTrip(ItemsMessage{version, {snapshot.items[1]}})
              .items[0]
              ->digest == snapshot.items[1]->digest);
    DomainView view{"windhoek-1",    7,         3, {{6, 1}, {7, 2}},
                    {{"node-1", 6}}, {8, "no"}, 1, 2};
    CHECK(RoundTrip(ReportMessage{view}).view == view);
    const PeerIdentity peer{"node-1", "windhoek-1", {"10.0.0.1", 7000}};
    CHECK(RoundTrip(ContactsMessage{{peer}}).peers ==
          std::vector<PeerIdentity>{peer});
  }
}

SCENARIO("malformed control frames are rejected") {
  const auto good = EncodeFrame(DistributionMessage(MakeWhole(SnapshotOf(50))));

  WHEN("the frame is truncated") {
    for (std::size_t size = 0; size < good.size(); size += 7) {
      CHECK(DecodeError(std::span(good).first(size)) != "");
    }
    CHECK(DecodeError(std::span(good).first(good.size() / 2)) == "truncated");
  }
  WHEN("the frame exceeds the maximum size") {
    const std::vector<std::uint8_t> large(kMaxFrameBytes + 1);
    CHECK(DecodeError(large) == "out_of_range");
  }
  WHEN("a list claims more elements than the message holds") {
    // A delta whose list of splices claims 500 million elements of size zero.
    const std::uint64_t count = 500'000'000;
    CHECK(DecodeError(Packed({kRootFrame, kDeltaKind, kDeltaStruct, 0, 0,
                              kCompositeList, count << 2})) != "");
  }
  WHEN("a pointer refers to itself") {
    // The pointer to the list of splices is a far pointer to itself.
    CHECK(DecodeError(Packed({kRootFrame, kDeltaKind, kDeltaStruct, 0, 0,
                              kFarPointer | (std::uint64_t{5} << 3)})) != "");
  }
  WHEN("nesting is deeper than in any valid message") {
    // Each of 64 words is a pointer to a list of one pointer, the next word.
    std::vector<std::uint64_t> words = {kRootFrame, kDeltaKind, kDeltaStruct, 0,
                                        0};
    for (int depth = 0; depth < 64; ++depth) {
      words.push_back(kListOfOnePointer);
    }
    words.push_back(0);
    CHECK(DecodeError(Packed(words)) != "");
  }
  WHEN("random bytes of the frame are changed") {
    Random random(11);
    int refused = 0;
    for (int round = 0; round < 2'000; ++round) {
      auto bytes = good;
      for (int flips = 0; flips < 8; ++flips) {
        bytes[random.Below(bytes.size())] ^=
            static_cast<std::uint8_t>(1 + random.Below(255));
      }
      refused += DecodeError(bytes).empty() ? 0 : 1;
    }
    THEN("some are rejected and none crashes the decoder") {
      CHECK(refused > 0);
    }
  }
  WHEN("the frame consists of random bytes") {
    Random random(12);
    for (int round = 0; round < 2'000; ++round) {
      std::vector<std::uint8_t> bytes(random.Below(200));
      for (std::uint8_t& byte : bytes) {
        byte = static_cast<std::uint8_t>(random.Below(256));
      }
      (void)DecodeError(bytes);
    }
    SUCCEED("no frame crashed the decoder");
  }
}

// Two transports on one event loop.
struct TransportPair {
  explicit TransportPair(std::size_t max_frame_bytes = 1'000) {
    for (int side = 0; side < 2; ++side) {
      ControlTransportInit init;
      init.address = address[side];
      init.hello = {static_cast<std::uint8_t>('0' + side)};
      init.max_frame_bytes = max_frame_bytes;
      transport[side] = std::make_unique<ControlTransport>(
          io, init,
          ControlTransportHooks{
              [this, side](ConnectionHandle connection,
                           std::span<const std::uint8_t> frame) {
                received[side].emplace_back(frame.begin(), frame.end());
                from[side] = connection;
              },
              [](ConnectionHandle) {},
              [this, side](const SocketAddress&) { ++failures[side]; }});
    }
  }

  template <typename Done>
  void RunUntil(Done done) {
    const Time deadline = SteadyNow() + seconds(30);
    while (!done() && SteadyNow() < deadline) {
      io.run_one_for(std::chrono::milliseconds(50));
    }
    REQUIRE(done());
  }

  asio::io_context io;
  // The port depends on the process id, so that concurrent test runs on one
  // machine do not collide.
  std::uint16_t port = static_cast<std::uint16_t>(10'000 + getpid() % 20'000);
  SocketAddress address[2] = {{"127.0.30.201", port}, {"127.0.30.202", port}};
  std::unique_ptr<ControlTransport> transport[2];
  std::vector<std::string> received[2];
  ConnectionHandle from[2];
  int failures[2] = {0, 0};
};

SCENARIO("one connection carries frames in both directions") {
  TransportPair pair;
  REQUIRE(pair.transport[0]->Open().empty());
  REQUIRE(pair.transport[1]->Open().empty());
  pair.transport[0]->Send(pair.address[1], {'a'});
  pair.transport[0]->Send(pair.address[1], {'b'});
  pair.RunUntil([&] { return pair.received[1].size() == 3; });
  CHECK(pair.received[1] == std::vector<std::string>{"0", "a", "b"});

  WHEN("the other side replies") {
    pair.transport[1]->Bind(pair.from[1], pair.address[0]);
    pair.transport[1]->Send(pair.address[0], {'c'});
    pair.RunUntil([&] { return pair.received[0].size() == 2; });
    CHECK(pair.received[0] == std::vector<std::string>{"1", "c"});
    CHECK(pair.transport[1]->stats().connects == 0);
    CHECK(pair.transport[0]->stats().connections == 1);
  }
  WHEN("a frame exceeds the limit of the receiver") {
    pair.transport[0]->Send(pair.address[1], FrameBytes(1'001));
    pair.RunUntil([&] { return pair.transport[1]->stats().oversize == 1; });
    CHECK(pair.transport[1]->stats().connections == 0);
  }
  WHEN("a peer closes in the middle of a frame") {
    asio::ip::tcp::socket raw(pair.io);
    raw.connect(
        {asio::ip::make_address(pair.address[1].ip), pair.address[1].port});
    const std::array<std::uint8_t, 6> truncated_frame = {100, 0, 0, 0, 1, 2};
    asio::write(raw, asio::buffer(truncated_frame));
    raw.close();
    pair.RunUntil([&] { return pair.transport[1]->stats().truncated == 1; });
  }
}

SCENARIO("a failed connect is reported") {
  TransportPair pair;
  REQUIRE(pair.transport[0]->Open().empty());
  pair.transport[0]->Send(pair.address[1], {'a'});
  pair.RunUntil([&] { return pair.failures[0] == 1; });
  CHECK(pair.transport[0]->stats().connections == 0);
}

}  // namespace
}  // namespace verbenastile
