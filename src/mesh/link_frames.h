// What two nodes say to each other on a link. The node that opened the link
// sends calls on it; the other one passes them to the instance beside it.
#ifndef MESH_LINK_FRAMES_H_
#define MESH_LINK_FRAMES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/time.h"
#include "core/admission.h"
#include "core/balancer.h"
#include "core/configuration_archive.h"
#include "core/configuration_source.h"
#include "core/member_record.h"
#include "io/http_message.h"

namespace verbenastile {

// Why a call was not passed on to the instance, and never will be.
enum class RefusalReason : std::uint8_t {
  kBusy = 0,          // It would miss its latency objective or its deadline.
  kLeaving = 1,       // The instance or its node is leaving.
  kNoInstance = 2,    // None is known, or it does not take connections.
  kOtherService = 3,  // The instance is of another service.
  kShed = 4,          // The instance itself refused to run it.
  kSlow = 5,          // The instance is too slow to answer it in time.
};

// The name of `reason` in lower case.
std::string_view ToString(RefusalReason reason);

// A call for the instance beside the receiving node.
struct GateCall {
  std::string service;
  std::string caller_service;
  std::string request_id;
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  std::string rule;  // The rule that decided; calls of one rule take
                     // similar time.
  Priority priority = Priority::kNormal;
  Duration remaining{0};  // Until the caller is answered without it.
  Duration objective{0};  // Until its answer is late; 0: it is.
  bool idempotent = false;
  bool only_if_free = false;  // Refuse rather than let it wait for a slot.
};

// What a node says of the instance beside it with each answer.
struct GateLoad {
  UpstreamLoad upstream;
  PeerConfiguration configuration;  // In force there.
};

struct GateRefusal {
  RefusalReason reason = RefusalReason::kBusy;
  Duration come_back{0};  // When room is likely.
  GateLoad load;
};

// The head of an answer with the first part of its body.
struct GateAnswer {
  int status = 0;
  HttpHeaders headers;
  std::optional<std::uint64_t> length;
  std::string body;
  bool last = false;
  GateLoad load;
  Duration waited{0};  // For a slot.
};

struct GatePart {
  std::string body;
  bool last = false;
};

// The instance was reached and no whole answer came.
struct GateBroken {
  std::string detail;
  std::optional<GateLoad> load;  // Nothing when the gate did not tell.
};

// The first frame in either direction.
struct LinkHello {
  MemberRecord self;
  PeerConfiguration configuration;
};

struct LinkCancel {};
struct LinkCredit {
  std::uint32_t bytes = 0;  // Of the answer's body that were taken.
};
struct LinkPing {};
struct LinkPong {
  GateLoad load;
};
struct LinkMember {
  MemberRecord record;
};
// The sender's link to the member broke without a word.
struct LinkSuspicion {
  std::string member;
};
struct LinkConfigurationWanted {
  HeldConfiguration held;
};
struct LinkConfiguration {
  ConfigurationDelta delta;
};

using LinkBody = std::variant<LinkHello,
                              GateCall,
                              LinkCancel,
                              GateRefusal,
                              GateAnswer,
                              GatePart,
                              GateBroken,
                              LinkCredit,
                              LinkPing,
                              LinkPong,
                              LinkMember,
                              LinkSuspicion,
                              LinkConfigurationWanted,
                              LinkConfiguration>;

struct LinkFrame {
  CallId call = 0;  // 0 for what belongs to no call.
  LinkBody body;
};

}  // namespace verbenastile

#endif  // MESH_LINK_FRAMES_H_
