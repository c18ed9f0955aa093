#include "core/gossip.h"

#include <algorithm>

#include "core/digest.h"

namespace verbenastile {
namespace {

constexpr std::size_t kWordBytes = 8;
// Packed Cap'n Proto adds at most two bytes of overhead per word.
constexpr std::size_t kPackedWordBytes = kWordBytes + 2;
// A pointer to a text or list. Zero bytes in its offset and size are packed
// away.
constexpr std::size_t kPointerBytes = 6;
// The segment table and the root pointer.
constexpr std::size_t kFramingBytes = 10;
constexpr std::size_t kListTagBytes = 6;
constexpr unsigned kHalfWordBits = 32;

// A data word. Zero bytes are packed away.
std::size_t WordBytes(std::uint64_t word) {
  std::size_t filled = 0;
  for (; word != 0; word >>= 8) {
    filled += (word & 0xff) != 0 ? 1 : 0;
  }
  const bool whole = filled == 0 || filled == kWordBytes;
  return 1 + filled + (whole ? 1 : 0);
}

std::size_t PairBytes(std::uint64_t low, std::uint64_t high) {
  return WordBytes(high << kHalfWordBits | low);
}

std::size_t TextBytes(std::string_view text) {
  if (text.empty()) {
    return 2;
  }
  const std::size_t words = (text.size() + kWordBytes) / kWordBytes;
  return kPointerBytes + text.size() + 2 * words;
}

// An IPv6 address is encoded as bytes, an IPv4 address within a data word.
std::size_t AddressBytes(const SocketAddress& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  return is_v6 ? kPointerBytes + 2 * kPackedWordBytes : 2;
}

std::size_t UpdateBytes(const MemberUpdate& update) {
  const Member& member = update.member;
  std::size_t bytes = WordBytes(member.incarnation) + TextBytes(member.name);
  if (!update.whole) {
    // State and accuser; all other fields are zero.
    return bytes + kPackedWordBytes + WordBytes(update.accuser) + 8;
  }
  bytes += 3 * kPackedWordBytes;
  bytes += PairBytes(member.connections, update.accuser);
  return bytes + AddressBytes(member.peer_address) +
         AddressBytes(member.control_address);
}

}  // namespace

std::uint32_t ClusterTag(std::string_view name_space) {
  return static_cast<std::uint32_t>(DigestOf(name_space).low);
}

std::uint32_t AccuserTag(std::string_view name) {
  return static_cast<std::uint32_t>(DigestOf(name).high) | 1U;
}

DatagramSizer::DatagramSizer(const GossipMessage& message) {
  bytes_ = kFramingBytes + kPackedWordBytes;
  bytes_ += PairBytes(message.cluster, message.sequence);
  bytes_ += WordBytes(message.incarnation);
  bytes_ += WordBytes(message.root) + WordBytes(message.bucket_set);
  bytes_ += TextBytes(message.sender) + TextBytes(message.target);
  bytes_ += AddressBytes(message.target_address);
  bytes_ +=
      kPointerBytes + ((message.digests.size() + 1) / 2) * kPackedWordBytes;
  bytes_ += 2 * (kPointerBytes + kListTagBytes);
}

std::size_t DatagramSizer::LabelBytes(const Member& member) const {
  std::size_t bytes = 0;
  for (const std::string* label :
       {&member.failure_domain, &member.region, &member.service}) {
    const bool known =
        std::find(labels_.begin(), labels_.end(), *label) != labels_.end();
    bytes += known ? 0 : TextBytes(*label);
  }
  return bytes;
}

void DatagramSizer::AddLabels(const Member& member) {
  for (const std::string* label :
       {&member.failure_domain, &member.region, &member.service}) {
    if (std::find(labels_.begin(), labels_.end(), *label) == labels_.end()) {
      labels_.push_back(*label);
    }
  }
}

bool DatagramSizer::Add(const MemberUpdate& update) {
  std::size_t bytes = UpdateBytes(update);
  if (update.whole) {
    bytes += LabelBytes(update.member);
  }
  if (bytes_ + bytes > kMaxDatagramBytes || updates_ == kMaxUpdates) {
    return false;
  }
  bytes_ += bytes;
  ++updates_;
  if (update.whole) {
    AddLabels(update.member);
  }
  return true;
}

std::size_t DatagramBytes(const GossipMessage& message) {
  DatagramSizer sizer(message);
  for (const MemberUpdate& update : message.updates) {
    if (!sizer.Add(update)) {
      return kMaxDatagramBytes + 1;
    }
  }
  return sizer.bytes();
}

}  // namespace verbenastile
