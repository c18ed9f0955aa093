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

// The name of the fault that refuses `bytes`; empty when they are read.
std::string FaultOf(std::span<const std::uint8_t> bytes) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(DecodeFrame(bytes));
        return std::string();
      },
      [](const WireError& error) { return std::string(ToString(error.kind)); },
      [] { return std::string("unknown error"); });
}

// Words of Cap'n Proto's encoding, for messages that no writer makes.
constexpr std::uint64_t kRootFrame = (1ULL << 32) | (1ULL << 48);
constexpr std::uint64_t kDeltaKind = 3;
constexpr std::uint64_t kDeltaStruct = 3ULL << 48;
constexpr std::uint64_t kCompositeList = 1ULL | (7ULL << 32);
constexpr std::uint64_t kListOfOnePointer = 1ULL | (6ULL << 32) | (1ULL << 35);
constexpr std::uint64_t kFarPointer = 2;

// A message of one segment that holds `words`, in packed form.
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

SCENARIO("messages go to bytes and back") {
  const Snapshot snapshot = SnapshotOf(100);
  const Version version = VersionOf(snapshot);

  THEN("a whole generation keeps its digest") {
    const Delta back = RoundTrip(MakeFullDelta(snapshot));
    const auto made = ApplyDelta({}, back);
    REQUIRE(made);
    CHECK(VersionOf(*made) == version);
  }
  THEN("the small ones are equal") {
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

SCENARIO("rubbish is refused") {
  const auto good =
      EncodeFrame(DistributionMessage(MakeFullDelta(SnapshotOf(50))));

  WHEN("it is cut") {
    for (std::size_t size = 0; size < good.size(); size += 7) {
      CHECK(FaultOf(std::span(good).first(size)) != "");
    }
    CHECK(FaultOf(std::span(good).first(good.size() / 2)) == "truncated");
  }
  WHEN("it is larger than a frame may be") {
    const std::vector<std::uint8_t> large(kMaxFrameBytes + 1);
    CHECK(FaultOf(large) == "out_of_range");
  }
  WHEN("a list promises more than is there") {
    // A frame with a delta whose list of splices has 500 million elements of
    // no size.
    const std::uint64_t count = 500'000'000;
    CHECK(FaultOf(Packed({kRootFrame, kDeltaKind, kDeltaStruct, 0, 0,
                          kCompositeList, count << 2})) != "");
  }
  WHEN("pointers lead in circles") {
    // The pointer to the delta's list is a far pointer to itself.
    CHECK(FaultOf(Packed({kRootFrame, kDeltaKind, kDeltaStruct, 0, 0,
                          kFarPointer | (std::uint64_t{5} << 3)})) != "");
  }
  WHEN("structures are nested deeper than any message") {
    // Each of 64 words points at the one after it as a list of pointers.
    std::vector<std::uint64_t> words = {kRootFrame, kDeltaKind, kDeltaStruct, 0,
                                        0};
    for (int depth = 0; depth < 64; ++depth) {
      words.push_back(kListOfOnePointer);
    }
    words.push_back(0);
    CHECK(FaultOf(Packed(words)) != "");
  }
  WHEN("bits are flipped") {
    Random random(11);
    int refused = 0;
    for (int round = 0; round < 2'000; ++round) {
      auto bytes = good;
      for (int flips = 0; flips < 8; ++flips) {
        bytes[random.Below(bytes.size())] ^=
            static_cast<std::uint8_t>(1 + random.Below(255));
      }
      refused += FaultOf(bytes).empty() ? 0 : 1;
    }
    THEN("nothing but a fault comes of it") {
      CHECK(refused > 0);
    }
  }
  WHEN("it is noise") {
    Random random(12);
    for (int round = 0; round < 2'000; ++round) {
      std::vector<std::uint8_t> bytes(random.Below(200));
      for (std::uint8_t& byte : bytes) {
        byte = static_cast<std::uint8_t>(random.Below(256));
      }
      (void)FaultOf(bytes);
    }
    SUCCEED("no frame brought the process down");
  }
}

// Two transports in one loop.
struct Ends {
  explicit Ends(std::size_t max_frame_bytes = 1'000) {
    for (int side = 0; side < 2; ++side) {
      ControlTransportInit init;
      init.address = address[side];
      init.hello = {static_cast<std::uint8_t>('0' + side)};
      init.max_frame_bytes = max_frame_bytes;
      end[side] = std::make_unique<ControlTransport>(
          io, init,
          ControlTransportHooks{
              [this, side](ConnectionHandle connection,
                           std::span<const std::uint8_t> frame) {
                heard[side].emplace_back(frame.begin(), frame.end());
                from[side] = connection;
              },
              [](ConnectionHandle) {},
              [this, side](const SocketAddress&) { ++failures[side]; }});
    }
  }

  template <typename Done>
  void RunUntil(Done done) {
    const Time give_up = SteadyNow() + seconds(30);
    while (!done() && SteadyNow() < give_up) {
      io.run_one_for(std::chrono::milliseconds(50));
    }
    REQUIRE(done());
  }

  asio::io_context io;
  // Runs at the same time on one machine get ports of their own.
  std::uint16_t port = static_cast<std::uint16_t>(10'000 + getpid() % 20'000);
  SocketAddress address[2] = {{"127.0.30.201", port}, {"127.0.30.202", port}};
  std::unique_ptr<ControlTransport> end[2];
  std::vector<std::string> heard[2];
  ConnectionHandle from[2];
  int failures[2] = {0, 0};
};

SCENARIO("frames travel over one connection in both directions") {
  Ends ends;
  REQUIRE(ends.end[0]->Open().empty());
  REQUIRE(ends.end[1]->Open().empty());
  ends.end[0]->Send(ends.address[1], {'a'});
  ends.end[0]->Send(ends.address[1], {'b'});
  ends.RunUntil([&] { return ends.heard[1].size() == 3; });
  CHECK(ends.heard[1] == std::vector<std::string>{"0", "a", "b"});

  WHEN("the other end answers") {
    ends.end[1]->Bind(ends.from[1], ends.address[0]);
    ends.end[1]->Send(ends.address[0], {'c'});
    ends.RunUntil([&] { return ends.heard[0].size() == 2; });
    CHECK(ends.heard[0] == std::vector<std::string>{"1", "c"});
    CHECK(ends.end[1]->stats().connects == 0);
    CHECK(ends.end[0]->stats().connections == 1);
  }
  WHEN("a frame is larger than the other end allows") {
    ends.end[0]->Send(ends.address[1], FrameBytes(1'001));
    ends.RunUntil([&] { return ends.end[1]->stats().oversize == 1; });
    CHECK(ends.end[1]->stats().connections == 0);
  }
  WHEN("a peer ends within a frame") {
    asio::ip::tcp::socket raw(ends.io);
    raw.connect(
        {asio::ip::make_address(ends.address[1].ip), ends.address[1].port});
    const std::array<std::uint8_t, 6> cut = {100, 0, 0, 0, 1, 2};
    asio::write(raw, asio::buffer(cut));
    raw.close();
    ends.RunUntil([&] { return ends.end[1]->stats().truncated == 1; });
  }
}

SCENARIO("a peer that does not listen is reported") {
  Ends ends;
  REQUIRE(ends.end[0]->Open().empty());
  ends.end[0]->Send(ends.address[1], {'a'});
  ends.RunUntil([&] { return ends.failures[0] == 1; });
  CHECK(ends.end[0]->stats().connections == 0);
}

}  // namespace
}  // namespace verbenastile
