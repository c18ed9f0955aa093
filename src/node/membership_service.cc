#include "node/membership_service.h"

#include <fmt/format.h>

#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <optional>

#include "base/log.h"
#include "core/invariant.h"
#include "wire/gossip_codec.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "membership";
constexpr std::array kAllStates = {MemberState::kAlive, MemberState::kSuspect,
                                   MemberState::kLeaving, MemberState::kDead,
                                   MemberState::kLeft};

std::string_view RejectionKind(GossipWireError::Kind kind) {
  switch (kind) {
    case GossipWireError::Kind::kOversize:
      return "oversize";
    case GossipWireError::Kind::kMalformed:
      return "malformed";
    case GossipWireError::Kind::kOutOfRange:
      return "out_of_range";
    case GossipWireError::Kind::kOtherCluster:
      return "other_cluster";
  }
  return "unknown";
}

MembershipInit InitOf(const Settings& settings,
                      const Member& self,
                      std::uint32_t seed) {
  MembershipInit init;
  init.self = self;
  init.cluster = ClusterTag(settings.platform.name_space);
  init.seed = seed;
  return init;
}

}  // namespace

MembershipService::MembershipService(asio::io_context& io,
                                     const MembershipServiceParts& parts,
                                     const Member& self,
                                     std::uint32_t seed)
    : parts_(parts),
      membership_(InitOf(*parts.settings, self, seed), SteadyNow()),
      cluster_(ClusterTag(parts.settings->platform.name_space)),
      socket_(io,
              [this](const SocketAddress& from,
                     std::span<const std::byte> datagram) {
                OnDatagram(from, datagram);
              }),
      tick_(io),
      roster_(io,
              *parts.platform,
              *parts.directory,
              self,
              seed + 1,
              [this](const std::vector<SocketAddress>& seeds) {
                membership_.OnSeeds(SteadyNow(), seeds);
                RunActions();
              }) {
  Metrics& metrics = *parts_.metrics;
  sent_bytes_ = metrics.Counter("membership_sent_bytes_total");
  received_bytes_ = metrics.Counter("membership_received_bytes_total");
  sent_datagrams_ = metrics.Counter("membership_sent_datagrams_total");
  received_datagrams_ = metrics.Counter("membership_received_datagrams_total");
  unsent_datagrams_ = metrics.Counter("membership_unsent_datagrams_total");
  health_ = metrics.Gauge("membership_local_health");
  exported_stats_ = {
      {&MembershipStats::refutations,
       metrics.Counter("membership_refutations_total")},
      {&MembershipStats::suspicions,
       metrics.Counter("membership_suspicions_total")},
      {&MembershipStats::deaths, metrics.Counter("membership_deaths_total")},
      {&MembershipStats::late_ticks,
       metrics.Counter("membership_late_ticks_total")},
      {&MembershipStats::name_conflicts,
       metrics.Counter("membership_name_conflicts_total")},
      {&MembershipStats::over_budget,
       metrics.Counter("membership_over_budget_total")},
      {&MembershipStats::table_full,
       metrics.Counter("membership_table_full_total")},
  };
}

std::string MembershipService::Open() {
  std::string error = socket_.Open(parts_.settings->listen.control);
  if (!error.empty()) {
    return error;
  }
  roster_.Start();
  RunActions();
  return {};
}

void MembershipService::Close() {
  roster_.Stop();
  tick_.cancel();
  socket_.Close();
}

void MembershipService::Announce(MemberState state, bool serving) {
  membership_.Announce(SteadyNow(), state, serving);
  RunActions();
}

void MembershipService::OnDatagram(const SocketAddress& from,
                                   std::span<const std::byte> datagram) {
  Metrics& metrics = *parts_.metrics;
  metrics.Add(received_datagrams_);
  metrics.Add(received_bytes_, datagram.size());
  const auto message = leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<GossipMessage>> {
        BOOST_LEAF_AUTO(decoded, DecodeGossip(datagram, cluster_));
        return std::optional<GossipMessage>(std::move(decoded));
      },
      [&](const GossipWireError& error) {
        metrics.Add(metrics.Counter(
            fmt::format("membership_rubbish_datagrams_total{{kind=\"{}\"}}",
                        RejectionKind(error.kind))));
        Log(LogLevel::kDebug, kLogComponent, "Rejected a membership datagram.",
            {{"from", ToString(from)}, {"reason", error.reason}});
        return std::optional<GossipMessage>();
      },
      [] { return std::optional<GossipMessage>(); });
  if (message) {
    membership_.OnMessage(SteadyNow(), from, *message);
    RunActions();
  }
}

void MembershipService::RunActions() {
  for (auto actions = membership_.TakeActions(); !actions.empty();
       actions = membership_.TakeActions()) {
    for (const MembershipAction& action : actions) {
      std::visit([this](const auto& known) { RunAction(known); }, action);
    }
  }
  ScheduleTick();
}

void MembershipService::ScheduleTick() {
  const Time wake = membership_.next_wake();
  tick_.expires_at(std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          wake.time_since_epoch())));
  tick_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      membership_.OnTick(SteadyNow());
      RunActions();
      ExportMetrics();
    }
  });
}

void MembershipService::RunAction(const SendGossip& send) {
  const auto datagram = leaf::try_handle_all(
      [&] { return EncodeGossip(send.message); },
      [](const GossipWireError& error) {
        CheckInvariant(false, "membership_datagram_encodes", error.reason);
        return std::vector<std::byte>();
      },
      [] { return std::vector<std::byte>(); });
  if (datagram.empty()) {
    return;
  }
  CheckInvariant(datagram.size() <= DatagramBytes(send.message),
                 "membership_datagram_estimate", send.message.sender);
  Metrics& metrics = *parts_.metrics;
  if (!socket_.Send(send.to, datagram)) {
    metrics.Add(unsent_datagrams_);
    return;
  }
  metrics.Add(sent_datagrams_);
  metrics.Add(sent_bytes_, datagram.size());
}

void MembershipService::RunAction(const MemberChanged& changed) {
  const Member& member = changed.member;
  const Member* known = parts_.directory->Find(member.name);
  if (known == nullptr || known->state != member.state) {
    const bool gone = member.state == MemberState::kDead;
    Log(gone ? LogLevel::kInfo : LogLevel::kDebug, kLogComponent,
        "Member state changed.",
        {{"member", member.name},
         {"state", ToString(member.state)},
         {"incarnation", member.incarnation}});
  }
  parts_.directory->Put(member);
}

void MembershipService::RunAction(const MemberForgotten& forgotten) {
  parts_.directory->Remove(forgotten.name);
}

void MembershipService::RunAction(const NeedSeeds&) {
  roster_.WantSeeds();
  membership_.OnSeeds(SteadyNow(), parts_.settings->membership_seeds);
}

void MembershipService::RunAction(const NameConflict& conflict) {
  Log(LogLevel::kError, kLogComponent,
      "Another live process uses this node's name.",
      {{"name", parts_.settings->name}, {"address", ToString(conflict.other)}});
}

void MembershipService::ExportMetrics() {
  Metrics& metrics = *parts_.metrics;
  for (ExportedStat& counted : exported_stats_) {
    const std::uint64_t value = membership_.stats().*counted.stat;
    metrics.Add(counted.counter, value - counted.exported);
    counted.exported = value;
  }
  metrics.Set(health_, membership_.stats().local_health);
  if (exported_revision_ == parts_.directory->revision()) {
    return;
  }
  exported_revision_ = parts_.directory->revision();
  for (const MemberState state : kAllStates) {
    std::size_t count = 0;
    for (const auto& [name, member] : parts_.directory->members()) {
      count += member.state == state ? 1 : 0;
    }
    metrics.Set(
        metrics.Gauge(fmt::format("members{{state=\"{}\"}}", ToString(state))),
        static_cast<double>(count));
  }
}

}  // namespace verbenastile
