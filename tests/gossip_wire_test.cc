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

// What `datagram` is refused for; nothing when it is taken.
std::optional<Kind> RefusalOf(std::span<const std::byte> datagram) {
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
  member.control_address = {random.Below(2) == 0 ? "127.0.0.1" : "fd00::1",
                            8'082};
  member.peer_address = {random.Below(2) == 0 ? "127.0.0.1" : "fd00::2", 8'081};
  member.slots = static_cast<std::uint32_t>(random.Below(1ULL << 32));
  member.connections = static_cast<std::uint32_t>(random.Below(1ULL << 32));
  member.serving = random.Below(2) == 0;
  return update;
}

// A message as full as the sizer lets it be.
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

SCENARIO("gossip travels as datagrams") {
  Random random(7);

  GIVEN("messages of every kind, as full as they may be") {
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

  GIVEN("a message that is too large for a datagram") {
    GossipMessage message = RandomMessage(random);
    message.updates.assign(kMaxUpdates, RandomUpdate(random));
    for (MemberUpdate& update : message.updates) {
      update.member.name = std::string(kMaxGossipNameBytes, 'x');
    }
    THEN("it is not encoded") {
      CHECK(Encode(message).empty());
    }
  }
}

SCENARIO("peers send rubbish") {
  Random random(11);
  const GossipMessage good = RandomMessage(random);
  const Bytes datagram = Encode(good);
  REQUIRE_FALSE(RefusalOf(datagram).has_value());

  WHEN("a datagram is cut short anywhere") {
    // The end of a packed message may be implied zeros; all but the last
    // bytes must be there.
    std::size_t refused = 0;
    for (std::size_t size = 0; size < datagram.size(); ++size) {
      refused += RefusalOf(std::span(datagram).first(size)).has_value() ? 1 : 0;
    }
    THEN("it is refused") {
      CHECK(refused == datagram.size());
    }
  }

  WHEN("it is longer than any node sends") {
    Bytes longer = datagram;
    longer.resize(kMaxDatagramBytes + 1);
    THEN("it is refused unread") {
      CHECK(RefusalOf(longer) == Kind::kOversize);
    }
  }

  WHEN("bits are flipped, and bytes are made up") {
    std::size_t refused = 0;
    for (int round = 0; round < 20'000; ++round) {
      Bytes damaged = Encode(RandomMessage(random));
      for (std::uint64_t flips = 1 + random.Below(8); flips > 0; --flips) {
        damaged[random.Below(damaged.size())] ^=
            static_cast<std::byte>(1U << random.Below(8));
      }
      refused += RefusalOf(damaged).has_value() ? 1 : 0;
      Bytes noise(random.Below(kMaxDatagramBytes));
      for (std::byte& byte : noise) {
        byte = static_cast<std::byte>(random.Below(256));
      }
      refused += RefusalOf(noise).has_value() ? 1 : 0;
    }
    THEN("nothing breaks, and what cannot be read is refused") {
      CHECK(refused > 20'000);
    }
  }

  WHEN("a few bytes claim to unpack to very much") {
    // One segment of 2^28 words.
    const Bytes bomb = {std::byte{0x10}, std::byte{0x10}, std::byte{0x00},
                        std::byte{0xff}};
    THEN("it is refused before memory is taken") {
      CHECK(RefusalOf(bomb) == Kind::kMalformed);
    }
  }

  WHEN("it is nested more deeply than any message") {
    // Sixty structs, each with nothing but a pointer to the next.
    std::vector<std::uint64_t> words(60, 1ULL << 48);
    const kj::ArrayPtr<const capnp::word> segment(
        reinterpret_cast<const capnp::word*>(words.data()), words.size());
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, kj::arrayPtr(&segment, 1));
    const auto bytes = out.getArray();
    const auto* first = reinterpret_cast<const std::byte*>(bytes.begin());
    THEN("it is refused") {
      CHECK(RefusalOf({first, bytes.size()}).has_value());
    }
  }

  WHEN("it comes from another fleet") {
    GossipMessage foreign = good;
    foreign.cluster = ClusterTag("another");
    THEN("it is told apart") {
      CHECK(RefusalOf(Encode(foreign)) == Kind::kOtherCluster);
    }
  }

  WHEN("values are out of range") {
    GossipMessage odd = good;
    odd.updates.clear();
    REQUIRE_FALSE(RefusalOf(Encode(odd)).has_value());
    SECTION("no sender") {
      odd.sender.clear();
    }
    SECTION("a control character in the sender's name") {
      odd.sender = "a\n";
    }
    SECTION("a name that is too long") {
      odd.sender = std::string(kMaxGossipNameBytes + 1, 'x');
    }
    SECTION("digests of other numbers than the kind has") {
      odd.kind = GossipKind::kPing;
      odd.digests.assign(3, 1);
    }
    SECTION("a member without an address") {
      MemberUpdate update = RandomUpdate(random);
      update.whole = true;
      update.member.failure_domain = "d";
      update.member.region = "r";
      update.member.service = "s";
      update.member.control_address = {};
      odd.updates.push_back(update);
    }
    SECTION("a state that there is none of") {
      MemberUpdate update;
      update.member.name = "a";
      update.member.state = static_cast<MemberState>(9);
      odd.updates.push_back(update);
    }
    CHECK(RefusalOf(Encode(odd)) == Kind::kOutOfRange);
  }
}

}  // namespace
}  // namespace verbenastile
