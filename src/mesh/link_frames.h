// The frames that two nodes exchange on a link. The node that opened the link
// sends calls on it; the other node forwards them to its local instance.
#ifndef MESH_LINK_FRAMES_H_
#define MESH_LINK_FRAMES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "core/admission.h"
#include "core/balancer.h"
#include "core/configuration_archive.h"
#include "core/configuration_source.h"
#include "core/crash_suspects.h"
#include "core/instance_notice.h"
#include "core/member_record.h"
#include "core/quota_messages.h"
#include "core/rollout_messages.h"
#include "io/http_message.h"

namespace verbenastile {

// Why a call was refused: it did not run on the instance and never will.
enum class RefusalReason : std::uint8_t {
  kBusy = 0,          // Would miss its latency objective or deadline.
  kLeaving = 1,       // The instance or its node is leaving.
  kNoInstance = 2,    // None is known, or it accepts no connections.
  kOtherService = 3,  // The instance serves another service.
  kShed = 4,          // The instance itself refused to run it.
  kSlow = 5,          // The instance is too slow to respond in time.
  kCrashSuspect = 6,  // The request may end the instance: see
                      // core/crash_suspects.h.
};

// Returns the name of `reason` in snake case.
std::string_view ToString(RefusalReason reason);

// A call to the receiving node's local instance.
struct GateCall {
  // The member that sent the call. The receiver sets it; it is not encoded.
  std::string origin;
  std::string service;
  std::string caller_service;
  std::string request_id;
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  std::string rule;  // The ID of the routing rule that matched. Calls that
                     // match the same rule take similar time.
  Priority priority = Priority::kNormal;
  std::string group;  // Of the caller; empty: none.
  // Precedes `priority`; empty: the group has none.
  std::optional<Priority> group_priority;
  Duration remaining{0};  // Until the caller gets an error instead.
  Duration objective{0};  // Until the response is late; <= 0: already late.
  bool idempotent = false;
  bool only_if_free = false;  // Refuse the call if it would have to wait.
  // What the sender has heard about the receiver's instance, if anything.
  std::optional<InstanceNotice> notice;
};

// The load of a node's local instance, reported with each response.
struct GateLoad {
  UpstreamLoad upstream;
  PeerConfiguration configuration;  // Active on that node.
  // What the instance said about itself, if anything.
  std::optional<InstanceNotice> notice = std::nullopt;
};

struct GateRefusal {
  RefusalReason reason = RefusalReason::kBusy;
  Duration retry_delay{0};  // Time until a slot is likely to be free.
  GateLoad load;
};

// The head of a response with the first part of its body.
struct GateResponse {
  int status = 0;
  HttpHeaders headers;
  std::optional<std::uint64_t> length;  // Of the body, if known.
  std::string body;
  bool last = false;  // The body is complete.
  GateLoad load;
  Duration queue_time{0};  // Time in the queue for a slot.
};

// A further part of the response body.
struct GateResponseChunk {
  std::string body;
  bool last = false;
};

// The instance was reached, but no complete response arrived.
struct GateFailure {
  std::string detail;
  std::optional<GateLoad> load;  // Empty if the gate did not report it.
};

// The first frame in each direction; identifies the sender.
struct LinkHello {
  MemberRecord self;
  PeerConfiguration configuration;
};

// The caller no longer waits for the response.
struct LinkCancel {};
// Flow control of a response body.
struct LinkCredit {
  std::uint32_t bytes = 0;  // Bytes of the body that the caller has consumed.
};
struct LinkPing {};
struct LinkPong {
  GateLoad load;
};
// Updates the member record of the sender.
struct LinkMember {
  MemberRecord record;
};
// The sender closed its link to the member because a probe got no response.
struct LinkSuspicion {
  std::string member;
};
// Asks for the delta from the held configuration to the active one.
struct LinkConfigurationRequest {
  HeldConfiguration held;
};
// The response to `LinkConfigurationRequest`.
struct LinkConfiguration {
  ConfigurationDelta delta;
};

// What the sender knows of requests that ended instances.
struct LinkCrashEvidence {
  std::vector<CrashEvidence> evidence;
};

// Asks the coordinators of groups for tokens.
struct LinkQuotaNeeds {
  std::vector<QuotaNeed> needs;
};

// The response to `LinkQuotaNeeds`.
struct LinkQuotaLoans {
  std::vector<QuotaLoan> loans;
};

// Asks a member for its part of the quotas that the sender coordinates.
struct LinkQuotaPartRequest {
  QuotaPartRequest request;
};

// The response to `LinkQuotaPartRequest`.
struct LinkQuotaPartGrant {
  QuotaPartGrant grant;
};

// The receiver should ask again for the sender's part.
struct LinkQuotaPartChanged {};

// What the instance beside the receiver said to an earlier process there, as
// far as the sender has heard.
struct LinkInstanceNotice {
  InstanceNotice notice;
};

// The sender knows the receiver's record of this sequence. If the receiver's
// instance leaves by it, it returns that to a later process there.
struct LinkMemberKnown {
  std::uint64_t sequence = 0;
};

// Asks for the members that the receiver knows.
struct LinkMembersWanted {};

// The response to `LinkMembersWanted`.
struct LinkMembers {
  std::vector<MemberRecord> records;
  // See core/quota_owners.h.
  bool sender_owns_quota_parts = false;
  // An earlier process of the receiver did.
  bool receiver_owned_quota_parts = false;
};

// What the sender knows of roll-outs.
struct LinkRollouts {
  std::vector<RolloutReport> reports;
  // If set, the reports name all orders that the store had this long ago.
  std::optional<Duration> age = std::nullopt;
  // Asks for all that the receiver knows, on the same link.
  bool asks = false;
};

using LinkBody = std::variant<LinkHello,
                              GateCall,
                              LinkCancel,
                              GateRefusal,
                              GateResponse,
                              GateResponseChunk,
                              GateFailure,
                              LinkCredit,
                              LinkPing,
                              LinkPong,
                              LinkMember,
                              LinkSuspicion,
                              LinkConfigurationRequest,
                              LinkConfiguration,
                              LinkCrashEvidence,
                              LinkQuotaNeeds,
                              LinkQuotaLoans,
                              LinkRollouts,
                              LinkQuotaPartRequest,
                              LinkQuotaPartGrant,
                              LinkQuotaPartChanged,
                              LinkInstanceNotice,
                              LinkMemberKnown,
                              LinkMembersWanted,
                              LinkMembers>;

struct LinkFrame {
  CallId call = 0;  // 0: the frame belongs to no call.
  LinkBody body;
};

}  // namespace verbenastile

#endif  // MESH_LINK_FRAMES_H_
