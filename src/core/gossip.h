// Messages of the membership protocol.
#ifndef CORE_GOSSIP_H_
#define CORE_GOSSIP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/member_directory.h"

namespace verbenastile {

// Maximum size of an encoded datagram, in bytes.
constexpr std::size_t kMaxDatagramBytes = 1'200;
// Number of buckets that members are hashed into by name. Each has a digest.
constexpr std::size_t kSyncBuckets = 64;
// Maximum length of the name of a member, service, failure domain or region, in
// bytes.
constexpr std::size_t kMaxGossipNameBytes = 100;
// Maximum number of member digests in a datagram.
constexpr std::size_t kMaxDigests = 200;
// Maximum number of member updates in a datagram.
constexpr std::size_t kMaxUpdates = 64;

enum class GossipKind : std::uint8_t {
  kPing = 0,         // Answered with kAck.
  kPingRequest = 1,  // Asks for a ping of `target`.
  kAck = 2,          // `target` answered; sent by it or a helper.
  kNack = 3,         // From a helper that `target` did not answer.
  kNews = 4,         // Carries only updates.
  kSyncRoot = 5,     // Digest of the sender's table.
  kSyncDigests = 6,  // Digests by bucket, after roots differed.
  kSyncMembers = 7,  // Member digests of differing buckets.
  kSyncWant = 8,     // Digests of members that the sender lacks.
  kSyncState = 9,    // Members that the receiver lacks.
};
constexpr GossipKind kLastGossipKind = GossipKind::kSyncState;

// A reported state of a member.
struct MemberUpdate {
  Member member;
  // If false, only name, incarnation and state are set.
  bool whole = false;
  // `AccuserTag` of the node that reports no answer from the member; 0 if none.
  std::uint32_t accuser = 0;
};

struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  std::uint32_t cluster = 0;   // Messages of other fleets are rejected.
  std::uint32_t sequence = 0;  // Of a ping; repeated in the answer.
  std::string sender;
  std::uint64_t incarnation = 0;  // The sender's.
  // The member to ping; if empty, any member listening at the address.
  std::string target;
  SocketAddress target_address;  // kPingRequest only.
  std::uint64_t root = 0;        // kSyncRoot only.
  // kSyncDigests: one per bucket; kSyncMembers, kSyncWant: one per member.
  std::vector<std::uint32_t> digests;
  std::uint64_t bucket_set = 0;  // kSyncMembers: covered buckets, as bits.
  std::vector<MemberUpdate> updates;
};

// Returns the tag that distinguishes the datagrams of different fleets.
std::uint32_t ClusterTag(std::string_view name_space);

// Returns a short hash that identifies an accuser; never 0.
std::uint32_t AccuserTag(std::string_view name);

// Computes an upper bound of the encoded size of a message.
class DatagramSizer {
 public:
  // Counts `message` without its updates.
  explicit DatagramSizer(const GossipMessage& message);

  // Counts `update` and returns true, or returns false if the datagram would
  // exceed `kMaxDatagramBytes`.
  bool Add(const MemberUpdate& update);

  // An upper bound, in bytes.
  std::size_t bytes() const { return bytes_; }

 private:
  std::size_t LabelBytes(const Member& member) const;
  void AddLabels(const Member& member);

  std::size_t bytes_ = 0;
  std::size_t updates_ = 0;
  std::vector<std::string> labels_;
};

// An upper bound of the encoded size of `message`, in bytes.
std::size_t DatagramBytes(const GossipMessage& message);

}  // namespace verbenastile

#endif  // CORE_GOSSIP_H_
