// The part of outbound calls that concerns failure domains: what leaving this
// node's costs a call, and the shares that leave.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"

#include "mesh/outbound_proxy.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "domain";
// Pairs of a service and a failure domain with metrics of their own.
constexpr std::size_t kMaxDomainMetrics = 64;
// Changes of the same share are logged at most this often.
constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

void OutboundProxy::PriceOtherDomains(const Call& call,
                                      std::int64_t bytes,
                                      Time now,
                                      ChooseQuery& query) {
  if (domain_spill_.IsDue(call.service, now)) {
    UpdateDomainShares(call.service, now);
  }
  const bool refused_at_home = std::any_of(
      call.tried_upstreams.begin(), call.tried_upstreams.end(),
      [&](UpstreamHandle tried) { return balancer_.IsNear(tried); });
  query.remote_cost = LeaveCost(init_.domain_price, bytes, query.objective);
  query.open_domain =
      domain_spill_.Pick(call.service, refused_at_home, balancer_random_);
  query.closed_cost = StayBonus(query.objective);
}

std::int64_t OutboundProxy::PaceWeight(std::string_view service) const {
  const auto found = pace_weights_.find(service);
  return found == pace_weights_.end() ? 0 : found->second;
}

void OutboundProxy::UpdateDomainShares(const std::string& service, Time now) {
  const std::vector<DomainRoom> rooms = balancer_.RoomByDomain(service, now);
  pace_weights_[service] =
      PaceWeightPermille(rooms, balancer_.PacesOf(service));
  for (const DomainSpill::Change& change :
       domain_spill_.Update(service, rooms, now)) {
    CounterHandle& changes =
        domain_changes_[static_cast<std::size_t>(change.reason)];
    if (changes.index == kInvalidMetric) {
      changes = init_.metrics->Counter(
          fmt::format("domain_share_changes_total{{reason=\"{}\"}}",
                      ToString(change.reason)));
    }
    init_.metrics->Add(changes);
    DomainMetrics* metrics = MetricsOfDomain(service, change.domain);
    if (metrics == nullptr) {
      continue;
    }
    init_.metrics->Set(metrics->share_permille,
                       static_cast<double>(change.after_permille));
    if (now - metrics->logged_at < kLogInterval) {
      continue;
    }
    metrics->logged_at = now;
    Log(LogLevel::kInfo, kLogComponent,
        "The share of calls that may leave the failure domain changed.",
        {{"service", service},
         {"to", change.domain},
         {"before_permille", change.before_permille},
         {"after_permille", change.after_permille},
         {"reason", ToString(change.reason)},
         {"own_calls_per_slot_permille", change.own_permille},
         {"calls_per_slot_there_permille", change.there_permille}});
  }
}

// Returns null for pairs beyond the bound.
OutboundProxy::DomainMetrics* OutboundProxy::MetricsOfDomain(
    const std::string& service,
    std::string_view domain) {
  std::pair key(service, std::string(domain));
  const auto found = domain_metrics_.find(key);
  if (found != domain_metrics_.end()) {
    return &found->second;
  }
  if (domain_metrics_.size() >= kMaxDomainMetrics) {
    return nullptr;
  }
  const std::string labels =
      fmt::format("{{service=\"{}\",to=\"{}\"}}", service, domain);
  DomainMetrics metrics{init_.metrics->Gauge("domain_share_permille" + labels),
                        init_.metrics->Counter("domain_calls_total" + labels),
                        {}};
  return &domain_metrics_.emplace(std::move(key), metrics).first->second;
}

void OutboundProxy::NoteDomain(const Call& call, const Member& member) {
  if (member.failure_domain == init_.failure_domain) {
    return;
  }
  if (DomainMetrics* metrics =
          MetricsOfDomain(call.service, member.failure_domain)) {
    init_.metrics->Add(metrics->calls);
  }
}

}  // namespace verbenastile
