// The part of the outbound proxy that deals with the keys of callers.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "io/http_status.h"
#include "mesh/outbound_proxy.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "groups";

// Covers a request to a peer for a newer configuration.
constexpr Duration kInDoubtRetryAfter = std::chrono::milliseconds(500);

std::string_view ReasonFor(KeyVerdict verdict) {
  switch (verdict) {
    case KeyVerdict::kNoKey:
      return "the request has no key";
    case KeyVerdict::kUnknownKey:
      return "the key is unknown";
    default:
      return "the configuration of keys may be old";
  }
}

}  // namespace

void OutboundProxy::RegisterKeyMetrics() {
  for (std::size_t i = 0; i < key_verdicts_.size(); ++i) {
    key_verdicts_.at(i) = init_.metrics->Counter(
        fmt::format("group_requests_total{{key=\"{}\"}}",
                    ToString(static_cast<KeyVerdict>(i))));
  }
}

// Finds the group that the caller's key belongs to. Where groups have keys, the
// key and a group that the caller named are removed: the key ends at this node,
// and only this node names the group. Returns false when the request was
// answered here.
bool OutboundProxy::FindGroup(CallId id, Call& call) {
  if (!call.table->document().callers_need_keys) {
    return true;
  }
  HttpHeaders& headers = call.exchange->head().headers;
  const auto has_key = [&](const HttpHeader& header) {
    return SameHeaderName(header.name, init_.headers.key);
  };
  // Which of several keys is meant is unknown, so that none of them counts.
  if (std::count_if(headers.begin(), headers.end(), has_key) == 1) {
    const auto key = KeyInCredentials(FindHeader(headers, init_.headers.key),
                                      init_.headers.key_scheme);
    if (key) {
      call.key_digest = call.table->DigestOfKey(*key);
    }
  }
  std::erase_if(headers, [&](const HttpHeader& header) {
    return has_key(header) || SameHeaderName(header.name, init_.headers.group);
  });
  const KeyDecision decision = CheckKeyOf(call, *call.table);
  init_.metrics->Add(
      key_verdicts_.at(static_cast<std::size_t>(decision.verdict)));
  call.group = decision.group;
  if (MaySend(decision.verdict)) {
    return true;
  }
  FailForKey(id, decision.verdict);
  return false;
}

KeyDecision OutboundProxy::CheckKeyOf(const Call& call,
                                      const RouteTable& table) const {
  return CheckKey(table, *call.route, call.key_digest,
                  init_.configuration_belief(), init_.key_limits());
}

// Checks the key again by the configuration in force, which may have withdrawn
// it since the request arrived.
KeyVerdict OutboundProxy::RecheckKey(const Call& call) const {
  const auto table = init_.applier->table();
  if (call.group == nullptr || !table->document().callers_need_keys) {
    return KeyVerdict::kAccepted;
  }
  return VerdictForGroup(CheckKeyOf(call, *table), call.group->name);
}

void OutboundProxy::FailForKey(CallId id, KeyVerdict verdict) {
  const bool in_doubt = verdict == KeyVerdict::kInDoubt;
  Call& call = calls_.at(id);
  if (in_doubt) {
    call.retry_after = kInDoubtRetryAfter;
  }
  const ConfigurationBelief belief = init_.configuration_belief();
  Log(LogLevel::kInfo, kLogComponent, "Refused a request for its key.",
      {{"request", call.request_id},
       {"key", ToString(verdict)},
       {"rule", call.rule->id},
       {"in_force", init_.applier->generation()},
       {"groups", init_.applier->table()->document().groups.size()},
       {"config_age_ms", ToMilliseconds(belief.age)},
       {"newer_known", belief.behind.has_value()},
       {"behind_ms", ToMilliseconds(belief.behind.value_or(Duration(0)))},
       {"fail_closed", init_.key_limits().fail_closed}});
  Fail(id, in_doubt ? kHttpUnavailable : kHttpUnauthorized, ReasonFor(verdict));
}

}  // namespace verbenastile
