// What nodes say to each other about the members of the fleet.
#ifndef CORE_GOSSIP_H_
#define CORE_GOSSIP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/member_directory.h"

namespace verbenastile {

// The largest encoded datagram, in bytes.
constexpr std::size_t kMaxDatagramBytes = 1'200;
// Members are sorted into this many buckets by name; digests are by bucket.
constexpr std::size_t kSyncBuckets = 64;
// The longest name of a member, service, failure domain or region, in bytes.
constexpr std::size_t kMaxGossipNameBytes = 100;
// The most digests of members in one datagram.
constexpr std::size_t kMaxDigests = 200;
// The most members in one datagram.
constexpr std::size_t kMaxUpdates = 64;

enum class GossipKind : std::uint8_t {
  kPing = 0,         // Answer with kAck.
  kPingRequest = 1,  // Ping `target` in the sender's place.
  kAck = 2,          // `target` answers; sent by it or by a helper.
  kNack = 3,         // A helper lives, but `target` did not answer it.
  kNews = 4,         // Only carries updates.
  kSyncRoot = 5,     // Digest over all that the sender knows.
  kSyncDigests = 6,  // The digest differs: digests by bucket.
  kSyncMembers = 7,  // Digests of the members in buckets that differ.
  kSyncWant = 8,     // Digests of members that the sender lacks.
  kSyncState = 9,    // Members that the receiver lacks.
};
constexpr GossipKind kLastGossipKind = GossipKind::kSyncState;

// What somebody says of a member.
struct MemberUpdate {
  Member member;
  // False: only name, incarnation and state are meant.
  bool whole = false;
  // Who says that the member does not answer, as `AccuserTag`; 0: nobody.
  std::uint32_t accuser = 0;
};

struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  std::uint32_t cluster = 0;   // Messages of other fleets are refused.
  std::uint32_t sequence = 0;  // Of a ping; its answer repeats it.
  std::string sender;
  std::uint64_t incarnation = 0;  // The sender's.
  // Who is pinged; empty: whoever listens at the address.
  std::string target;
  SocketAddress target_address;  // kPingRequest only.
  std::uint64_t root = 0;        // kSyncRoot only.
  // kSyncDigests: one a bucket; kSyncMembers, kSyncWant: one a member.
  std::vector<std::uint32_t> digests;
  std::uint64_t bucket_set = 0;  // kSyncMembers: those meant, one a bit.
  std::vector<MemberUpdate> updates;
};

// The tag that keeps the datagrams of fleets apart.
std::uint32_t ClusterTag(std::string_view name_space);

// Names an accuser in few bytes; never 0.
std::uint32_t AccuserTag(std::string_view name);

// Adds up what a message takes on the wire; never less than the encoding.
class DatagramSizer {
 public:
  // Counts `message` without its updates.
  explicit DatagramSizer(const GossipMessage& message);

  // Counts `update` and returns true, unless the datagram would grow above
  // `kMaxDatagramBytes`.
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
