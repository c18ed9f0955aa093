#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "base/random.h"
#include "wire/gossip_codec.h"

namespace verbenastile {
namespace {

constexpr std::uint32_t kCluster = 0xC0FFEE;

using Bytes = std::vector<std::byte>;
using Kind = GossipWireError::Kind;

Bytes Encode(const GossipMessage& message) {
  return leaf::try_handle_all([&] { return EncodeGossip(message); },
                              [] { return Bytes(); });
}

// Returns why `datagram` is rejected, or nothing if it decodes.
std::optional<Kind> RejectionReason(std::span<const std::byte> datagram) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Kind>> {
        BOOST_LEAF_CHECK(DecodeGossip(datagram, kCluster));
        return std::optional<Kind>();
      },
      [](const GossipWireError& error) {
        return std::optional<Kind>(error.kind);
      },
      []() -> std::optional<Kind> { throw std::runtime_error("untyped"); });
}

GossipMessage Decode(std::span<const std::byte> datagram) {
  return leaf::try_handle_all(
      [&] { return DecodeGossip(datagram, kCluster); },
      [](const GossipWireError& error) -> GossipMessage {
        throw std::runtime_error(error.reason);
      },
      []() -> GossipMessage { throw std::runtime_error("untyped"); });
}

std::string RandomName(Random& random) {
  return std::string(1 + random.Below(kMaxGossipNameBytes),
                     static_cast<char>('a' + random.Below(26)));
}

MemberUpdate RandomUpdate(Random& random) {
  MemberUpdate update;
  update.whole = random.Below(2) == 0;
  update.accuser = static_cast<std::uint32_t>(random.Below(1ULL << 32));
  Member& member = update.member;
  member.name = RandomName(random);
  member.incarnation = random.Below(~0ULL);
  member.state = static_cast<MemberState>(random.Below(5));
  if (!update.whole) {
    return update;
  }
  member.failure_domain = RandomName(random);
  member.region = RandomName(random);
  member.service = RandomName(random);
  member.control = {random.Below(2) == 0 ? "127.0.0.1" : "fd00::1", 8'082};
  member.peers = {random.Below(2) == 0 ? "127.0.0.1" : "fd00::2", 8'081};
  member.slots = static_cast<std::uint32_t>(random.Below(1ULL << 32));
  member.connections = static_cast<std::uint32_t>(random.Below(1ULL << 32));
  member.serving = random.Below(2) == 0;
  return update;
}

// Returns a message with as many updates as `DatagramSizer` allows.
GossipMessage RandomMessage(Random& random) {
  GossipMessage message;
  message.cluster = kCluster;
  message.kind = static_cast<GossipKind>(
      random.Below(static_cast<std::uint64_t>(kLastGossipKind) + 1));
  message.sequence = static_cast<std::uint32_t>(random.Below(1ULL << 32));
  message.sender = RandomName(random);
  message.incarnation = random.Below(~0ULL);
  message.root = random.Below(~0ULL);
  message.bucket_set = random.Below(~0ULL);
  if (message.kind == GossipKind::kPingRequest) {
    message.target = RandomName(random);
    message.target_address = {"fd00::3", 9};
  }
  std::size_t digests = 0;
  if (message.kind == GossipKind::kSyncDigests) {
    digests = kSyncBuckets;
  } else if (message.kind == GossipKind::kSyncMembers ||
             message.kind == GossipKind::kSyncWant) {
    digests = random.Below(kMaxDigests + 1);
  }
  for (std::size_t i = 0; i < digests; ++i) {
    message.digests.push_back(
        static_cast<std::uint32_t>(random.Below(1ULL << 32)));
  }
  DatagramSizer sizer(message);
  while (message.updates.size() < kMaxUpdates) {
    MemberUpdate update = RandomUpdate(random);
    if (!sizer.Add(update)) {
      break;
    }
    message.updates.push_back(std::move(update));
  }
  return message;
}

SCENARIO("gossip messages survive encoding and decoding") {
  Random random(7);

  GIVEN("messages of every kind, filled to the size limit") {
    for (int round = 0; round < 2'000; ++round) {
      const GossipMessage message = RandomMessage(random);
      const Bytes datagram = Encode(message);
      REQUIRE_FALSE(datagram.empty());
      REQUIRE(datagram.size() <= kMaxDatagramBytes);
      REQUIRE(datagram.size() <= DatagramBytes(message));
      const GossipMessage read = Decode(datagram);
      REQUIRE(read.kind == message.kind);
      REQUIRE(read.sequence == message.sequence);
      REQUIRE(read.sender == message.sender);
      REQUIRE(read.target == message.target);
      REQUIRE(read.target_address == message.target_address);
      REQUIRE(read.incarnation == message.incarnation);
      REQUIRE(read.digests == message.digests);
      REQUIRE(read.bucket_set == message.bucket_set);
      REQUIRE(read.updates.size() == message.updates.size());
      for (std::size_t i = 0; i < read.updates.size(); ++i) {
        REQUIRE(read.updates[i].member == message.updates[i].member);
        REQUIRE(read.updates[i].whole == message.updates[i].whole);
        REQUIRE(read.updates[i].accuser == message.updates[i].accuser);
      }
    }
  }

  GIVEN("a message that does not fit in a datagram") {
    GossipMessage message = RandomMessage(random);
    message.updates.assign(kMaxUpdates, RandomUpdate(random));
    for (MemberUpdate& update : message.updates) {
      update.member.name = std::string(kMaxGossipNameBytes, 'x');
    }
    THEN("encoding fails") {
      CHECK(Encode(message).empty());
    }
  }
}

SCENARIO("malformed gossip datagrams are rejected") {
  Random random(11);
  const GossipMessage good = RandomMessage(random);
  const Bytes datagram = Encode(good);
  REQUIRE_FALSE(RejectionReason(datagram).has_value());

  WHEN("a datagram is truncated at any byte") {
    // The packed encoding may leave out zeros at the end of a message; all but
    // these last bytes must be present.
    std::size_t rejected = 0;
    for (std::size_t size = 0; size < datagram.size(); ++size) {
      rejected +=
          RejectionReason(std::span(datagram).first(size)).has_value() ? 1 : 0;
    }
    THEN("it is rejected") {
      CHECK(rejected == datagram.size());
    }
  }

  WHEN("it exceeds the maximum datagram size") {
    Bytes longer = datagram;
    longer.resize(kMaxDatagramBytes + 1);
    THEN("it is rejected without being parsed") {
      CHECK(RejectionReason(longer) == Kind::kOversize);
    }
  }

  WHEN("bits are flipped, or all bytes are random") {
    std::size_t rejected = 0;
    for (int round = 0; round < 20'000; ++round) {
      Bytes damaged = Encode(RandomMessage(random));
      for (std::uint64_t flips = 1 + random.Below(8); flips > 0; --flips) {
        damaged[random.Below(damaged.size())] ^=
            static_cast<std::byte>(1U << random.Below(8));
      }
      rejected += RejectionReason(damaged).has_value() ? 1 : 0;
      Bytes noise(random.Below(kMaxDatagramBytes));
      for (std::byte& byte : noise) {
        byte = static_cast<std::byte>(random.Below(256));
      }
      rejected += RejectionReason(noise).has_value() ? 1 : 0;
    }
    THEN("nothing crashes, and undecodable datagrams are rejected") {
      CHECK(rejected > 20'000);
    }
  }

  WHEN("a few bytes claim a huge unpacked size") {
    // One segment of 2^28 words.
    const Bytes bomb = {std::byte{0x10}, std::byte{0x10}, std::byte{0x00},
                        std::byte{0xff}};
    THEN("it is rejected before memory is allocated") {
      CHECK(RejectionReason(bomb) == Kind::kMalformed);
    }
  }

  WHEN("nesting is deeper than in any valid message") {
    // 60 structs, each with only a pointer to the next.
    std::vector<std::uint64_t> words(60, 1ULL << 48);
    const kj::ArrayPtr<const capnp::word> segment(
        reinterpret_cast<const capnp::word*>(words.data()), words.size());
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, kj::arrayPtr(&segment, 1));
    const auto bytes = out.getArray();
    const auto* first = reinterpret_cast<const std::byte*>(bytes.begin());
    THEN("it is rejected") {
      CHECK(RejectionReason({first, bytes.size()}).has_value());
    }
  }

  WHEN("the datagram comes from another fleet") {
    GossipMessage foreign = good;
    foreign.cluster = ClusterTag("another");
    THEN("it is rejected as such") {
      CHECK(RejectionReason(Encode(foreign)) == Kind::kOtherCluster);
    }
  }

  WHEN("a field holds an invalid value") {
    GossipMessage invalid = good;
    invalid.updates.clear();
    REQUIRE_FALSE(RejectionReason(Encode(invalid)).has_value());
    SECTION("no sender") {
      invalid.sender.clear();
    }
    SECTION("a control character in the sender's name") {
      invalid.sender = "a\n";
    }
    SECTION("a name that is too long") {
      invalid.sender = std::string(kMaxGossipNameBytes + 1, 'x');
    }
    SECTION("a number of digests that the message kind does not allow") {
      invalid.kind = GossipKind::kPing;
      invalid.digests.assign(3, 1);
    }
    SECTION("a member without an address") {
      MemberUpdate update = RandomUpdate(random);
      update.whole = true;
      update.member.failure_domain = "d";
      update.member.region = "r";
      update.member.service = "s";
      update.member.control = {};
      invalid.updates.push_back(update);
    }
    SECTION("an unknown member state") {
      MemberUpdate update;
      update.member.name = "a";
      update.member.state = static_cast<MemberState>(9);
      invalid.updates.push_back(update);
    }
    CHECK(RejectionReason(Encode(invalid)) == Kind::kOutOfRange);
  }
}

}  // namespace
}  // namespace verbenastile
