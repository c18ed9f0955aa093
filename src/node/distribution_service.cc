#include "node/distribution_service.h"

#include <fmt/format.h>

#include <boost/leaf/handle_errors.hpp>

#include "base/log.h"
#include "core/invariant.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "distribution";

PeerIdentity IdentityOf(const Member& self) {
  return {self.name, self.failure_domain, self.control_address};
}

ControlTransportInit TransportInit(const Member& self) {
  ControlTransportInit init;
  init.address = self.control_address;
  init.hello = EncodeFrame(IdentityOf(self));
  init.max_frame_bytes = kMaxFrameBytes;
  return init;
}

DistributionInit DistributionInitOf(const DistributionServiceInit& init) {
  DistributionInit distribution;
  distribution.policy = MakePolicy(init.settings->policy);
  distribution.seed = init.seed;
  return distribution;
}

}  // namespace

DistributionService::DistributionService(asio::io_context& io,
                                         DistributionServiceInit init)
    : init_(std::move(init)),
      timer_(io),
      source_(io,
              *init_.platform,
              init_.session_chart,
              init_.seed,
              {[this](const Version& version) {
                 distribution_.OnPlatformHead(SteadyNow(), version);
                 RunActions();
               },
               [this](SnapshotPointer snapshot) {
                 distribution_.OnPlatformSnapshot(SteadyNow(),
                                                  std::move(snapshot));
                 RunActions();
               },
               [this] { return init_.applier->snapshot(); }}),
      status_writer_(*init_.platform),
      transport_(io,
                 TransportInit(init_.self),
                 {[this](ConnectionHandle connection,
                         std::span<const std::uint8_t> frame) {
                    OnFrame(connection, frame);
                  },
                  [this](ConnectionHandle connection) {
                    identities_.erase(connection);
                  },
                  [this](const SocketAddress& peer) {
                    distribution_.OnPeerFailed(SteadyNow(), peer);
                    RunActions();
                  }}),
      distribution_(DistributionInitOf(init_),
                    init_.self,
                    init_.directory,
                    init_.applier) {}

std::string DistributionService::Start() {
  if (Relays(MakePolicy(init_.settings->policy))) {
    std::string error = transport_.Open();
    if (!error.empty()) {
      return error;
    }
  }
  distribution_.Start(SteadyNow());
  RunActions();
  return {};
}

void DistributionService::Stop() {
  stopped_ = true;
  timer_.cancel();
  source_.Stop();
  transport_.Close();
}

std::string_view DistributionService::session_state() const {
  return source_.following() ? source_.session_state() : "not following";
}

void DistributionService::OnFrame(ConnectionHandle connection,
                                  std::span<const std::uint8_t> frame) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(decoded, DecodeFrame(frame));
        OnDecoded(connection, std::move(decoded));
        return {};
      },
      [&](const WireError& error) { Refuse(connection, ToString(error.kind)); },
      [&] { Refuse(connection, "unknown"); });
}

void DistributionService::OnDecoded(ConnectionHandle connection,
                                    ControlFrame frame) {
  const auto known = identities_.find(connection);
  if (auto* peer = std::get_if<PeerIdentity>(&frame)) {
    if (known != identities_.end()) {
      Refuse(connection, "second_hello");
      return;
    }
    transport_.Bind(connection, peer->control);
    identities_.emplace(connection, std::move(*peer));
    return;
  }
  if (known == identities_.end()) {
    Refuse(connection, "no_hello");
    return;
  }
  auto& message = std::get<DistributionMessage>(frame);
  init_.metrics->Add(init_.metrics->Counter(fmt::format(
      "control_messages_received_total{{kind=\"{}\"}}", KindOf(message))));
  const PeerIdentity peer = known->second;
  distribution_.OnMessage(SteadyNow(), peer, std::move(message));
  RunActions();
}

// Closes the connection of a peer that sent an invalid frame. The peer may
// reconnect.
void DistributionService::Refuse(ConnectionHandle connection,
                                 std::string_view kind) {
  const auto peer = identities_.find(connection);
  Log(LogLevel::kWarning, kLogComponent, "Refused an invalid control frame.",
      {{"kind", kind},
       {"peer", peer == identities_.end() ? "unknown" : peer->second.name}});
  init_.metrics->Add(init_.metrics->Counter(
      fmt::format("control_frames_refused_total{{kind=\"{}\"}}", kind)));
  transport_.Drop(connection);
}

struct DistributionService::ActionRunner {
  DistributionService& service;

  void operator()(SendAction& action) const {
    service.transport_.Send(action.to, EncodeFrame(std::move(action.message)));
  }
  void operator()(const CloseAction& action) const {
    Log(LogLevel::kWarning, kLogComponent,
        "Closing the connection to a peer that violated the protocol.",
        {{"peer", ToString(action.peer)}, {"reason", action.reason}});
    service.transport_.Drop(action.peer);
  }
  void operator()(const FollowAction& action) const {
    Log(LogLevel::kDebug, kLogComponent,
        action.follow ? "Started following the platform."
                      : "Stopped following the platform.");
    if (action.follow) {
      service.source_.Follow();
    } else {
      service.source_.Stop();
    }
  }
  void operator()(const FetchAction&) const { service.source_.Fetch(); }
  void operator()(const OfferedAction& action) const {
    service.init_.on_offered(action);
  }
  void operator()(const WriteStatusAction& action) const {
    service.status_writer_.Write(
        action.view, [&service = service](bool written) {
          service.distribution_.OnStatusWritten(SteadyNow(), written);
        });
  }
};

void DistributionService::RunActions() {
  if (running_actions_ || stopped_) {
    return;
  }
  running_actions_ = true;
  for (auto actions = distribution_.TakeActions(); !actions.empty();
       actions = distribution_.TakeActions()) {
    for (DistributionAction& action : actions) {
      std::visit(ActionRunner{*this}, action);
    }
  }
  running_actions_ = false;
  ScheduleNext();
}

void DistributionService::ScheduleNext() {
  const Time next = distribution_.next_time();
  timer_.expires_after(std::max(next - SteadyNow(), Duration::zero()));
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error && !stopped_) {
      distribution_.OnTime(SteadyNow());
      UpdateMetrics();
      RunActions();
    }
  });
}

void DistributionService::SetCounter(std::string_view name,
                                     std::uint64_t value) {
  const CounterHandle counter = init_.metrics->Counter(name);
  init_.metrics->Add(counter, value - init_.metrics->value(counter));
}

void DistributionService::UpdateMetrics() {
  const ControlTransportStats transport = transport_.stats();
  const DistributionStats& stats = distribution_.stats();
  SetCounter("control_tcp_total{direction=\"sent\",unit=\"bytes\"}",
             transport.bytes_sent);
  SetCounter("control_tcp_total{direction=\"received\",unit=\"bytes\"}",
             transport.bytes_received);
  SetCounter("control_bytes_sent_total",
             transport.bytes_sent + init_.platform->bytes_sent());
  SetCounter("control_bytes_received_total",
             transport.bytes_received + init_.platform->bytes_received());
  SetCounter("platform_calls_total", init_.platform->calls());
  SetCounter("control_connects_total", transport.connects);
  SetCounter("control_accepts_total", transport.accepts);
  SetCounter("control_frames_refused_total{kind=\"oversize\"}",
             transport.oversize);
  SetCounter("control_frames_refused_total{kind=\"cut\"}", transport.truncated);
  SetCounter("config_deltas_total", stats.deltas_applied);
  SetCounter("config_wholes_total", stats.wholes_applied);
  SetCounter("config_assembled_total", stats.assembled);
  SetCounter("config_duplicates_total", stats.duplicates);
  SetCounter("config_stale_total", stats.stale);
  SetCounter("config_forked_total", stats.forked);
  SetCounter("config_bad_content_total", stats.bad_content);
  SetCounter("config_unknown_base_total", stats.unknown_base);
  SetCounter("config_pulls_failed_total", stats.pulls_failed);
  SetCounter("control_over_budget_total", stats.over_budget);
  SetCounter("invariant_violations_total", ViolationCount());
  init_.metrics->Set(init_.metrics->Gauge("control_connections"),
                     static_cast<double>(transport.connections));
  init_.metrics->Set(init_.metrics->Gauge("platform_other_history"),
                     distribution_.other_history() ? 1 : 0);
}

}  // namespace verbenastile
