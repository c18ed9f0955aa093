#include "node/node.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

#include "base/build_id.h"
#include "base/log.h"
#include "base/random.h"
#include "core/invariant.h"
#include "io/file_limit.h"
#include "verbenastile/http_headers.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "node";
constexpr std::size_t kMaxIdlePlatformConnections = 4;
constexpr std::size_t kMaxIdleCallConnections = 512;
// Open files needed for the connections of callers, peers and operators, and
// for those to upstreams.
constexpr std::size_t kRequiredOpenFiles = 14'000;
// How long a leaving node keeps serving callers through other upstreams,
// limited to half of the drain timeout. This is longer than the clients of this
// project keep idle connections, so no connection is closed while a request is
// sent.
constexpr Duration kMinDrainTime = std::chrono::seconds(5);
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);
// Time allowed for the final membership announcement to be sent.
constexpr Duration kFinalAnnouncementTime = std::chrono::milliseconds(300);

HttpServerInit MakeServerInit(const SocketAddress& address) {
  HttpServerInit init;
  init.address = address;
  init.error_headers = {
      {std::string(kOutcomeHeader), std::string(kOutcomeNotRun)}};
  return init;
}

Member MakeSelfMember(const Settings& settings) {
  Member self;
  self.name = settings.name;
  // A node stores nothing across restarts. Wall-clock milliseconds only give
  // the first incarnation a high starting value. If other members remember a
  // higher one, the node raises its own above it.
  self.incarnation = UnixMilliseconds();
  self.failure_domain = settings.failure_domain;
  self.region = settings.region;
  self.service = settings.upstream.service;
  self.peer_address = settings.listen.peers;
  self.control_address = settings.listen.control;
  self.slots = settings.upstream.slots;
  self.connections = settings.upstream.connections;
  self.serving = false;
  return self;
}

std::vector<GroupStatus> MakeGroupStatuses(const RuleDocument& document) {
  std::vector<GroupStatus> groups;
  for (const Group& group : document.groups) {
    GroupStatus status{group.name, group.weight, 0, group.quota.rules};
    for (const Rule& rule : document.rules) {
      status.rules += EffectiveOwner(rule) == group.name ? 1 : 0;
    }
    groups.push_back(std::move(status));
  }
  return groups;
}

}  // namespace

Node::Node(const Settings& settings, NodeCharts charts, std::string admin_token)
    : settings_(settings),
      charts_(std::move(charts)),
      signals_(io_, SIGTERM, SIGINT),
      drain_timer_(io_),
      applier_(&charts_.config_apply),
      lifecycle_(&charts_.lifecycle),
      control_http_(io_, kMaxIdlePlatformConnections),
      call_http_(io_, kMaxIdleCallConnections),
      platform_(control_http_, settings_.platform),
      membership_(io_,
                  {&settings_, &platform_, &directory_, &metrics_},
                  MakeSelfMember(settings_),
                  NondeterministicSeed()),
      distribution_(io_, MakeDistributionInit()),
      proxy_(
          {&io_, &settings_, &applier_, &directory_, &charts_.upstream_health,
           &call_http_, &metrics_, [this] { OnUpstreamLeaving(); }},
          NondeterministicSeed()),
      admin_server_(
          io_,
          settings_.listen.admin,
          metrics_,
          {std::move(admin_token), [this] { return ToJson(Status()).dump(); },
           [this] { return ready(); },
           [this] { FireLifecycleEvent("leave_requested"); },
           [this] { return distribution_.waiting_for(); }}),
      peer_server_(io_,
                   MakeServerInit(settings_.listen.peers),
                   [this](HttpRequest request, HttpReply reply) {
                     proxy_.OnPeerRequest(std::move(request), std::move(reply));
                   }),
      caller_server_(io_,
                     MakeServerInit(settings_.listen.callers),
                     [this](HttpRequest request, HttpReply reply) {
                       proxy_.OnCallerRequest(std::move(request),
                                              std::move(reply));
                     }) {}

DistributionServiceInit Node::MakeDistributionInit() {
  DistributionServiceInit init;
  init.settings = &settings_;
  init.directory = &directory_;
  init.applier = &applier_;
  init.platform = &platform_;
  init.session_chart = &charts_.platform_session;
  init.metrics = &metrics_;
  init.self = MakeSelfMember(settings_);
  init.seed = NondeterministicSeed();
  init.on_offered = [this](const OfferedAction& action) {
    OnConfigurationOffered(action);
  };
  return init;
}

int Node::Run() {
  Log(LogLevel::kInfo, kLogComponent, "Started.",
      {{"name", settings_.name}, {"build", BuildId()}});
  if (settings_.end_on_violation) {
    SetViolationHandler(
        [](std::string_view, std::string_view) { std::abort(); });
  }
  Open();
  io_.run();
  Log(LogLevel::kInfo, kLogComponent, "Stopped.", {{"name", settings_.name}});
  return exit_code_;
}

void Node::Open() {
  const std::size_t files = RaiseFileLimit();
  if (files < kRequiredOpenFiles) {
    Log(LogLevel::kWarning, kLogComponent,
        "The limit on open files is too low.",
        {{"limit", files}, {"needed", kRequiredOpenFiles}});
  }
  signals_.async_wait([this](const asio::error_code& error, int) {
    if (!error) {
      FireLifecycleEvent("leave_requested");
    }
  });
  admin_server_.Open(
      [this](const std::string& error) { OnListenResult("admin", error); });
  peer_server_.Open(
      [this](const std::string& error) { OnListenResult("peers", error); });
  OnListenResult("control", membership_.Open());
  OnListenResult("control", distribution_.Start());
}

void Node::OnListenResult(std::string_view address_name,
                          const std::string& error) {
  if (error.empty()) {
    return;
  }
  Log(LogLevel::kError, kLogComponent, "Cannot listen.",
      {{"address", address_name}, {"error", error}});
  exit_code_ = 1;
  io_.stop();
}

void Node::OnConfigurationOffered(const OfferedAction& action) {
  metrics_.Set(metrics_.Gauge("generation"),
               static_cast<double>(applier_.generation()));
  switch (action.outcome) {
    case ApplyOutcome::kInForce:
      Log(LogLevel::kInfo, "config", "A generation is in force.",
          {{"generation", applier_.generation()},
           {"digest", ToString(action.offered.digest)}});
      FireLifecycleEvent("config_in_force");
      break;
    case ApplyOutcome::kRefused:
      Log(LogLevel::kError, "config", "A generation was refused.",
          {{"generation", action.offered.generation},
           {"reason", applier_.refusal().reason}});
      break;
    case ApplyOutcome::kOlder:
    case ApplyOutcome::kForked:
      Log(LogLevel::kError, "config",
          "The history on the platform differs from the one in force.",
          {{"in_force", applier_.generation()},
           {"offered", action.offered.generation}});
      break;
    case ApplyOutcome::kUnchanged:
      break;
  }
}

void Node::OnUpstreamLeaving() {
  asio::post(io_, [this] { FireLifecycleEvent("leave_requested"); });
}

void Node::FireLifecycleEvent(std::string_view event) {
  for (const std::string& action : lifecycle_.Fire(event).actions) {
    RunLifecycleAction(action);
  }
}

void Node::RunLifecycleAction(std::string_view action) {
  if (action == "open_callers") {
    caller_server_.Open(
        [this](const std::string& error) { OnListenResult("callers", error); });
  } else if (action == "announce_serving") {
    membership_.Announce(MemberState::kAlive, true);
    Log(LogLevel::kInfo, kLogComponent, "Serving.", {{"name", settings_.name}});
  } else if (action == "announce_leaving") {
    BeginLeaving();
  } else if (action == "announce_left") {
    membership_.Announce(MemberState::kLeft, false);
  } else if (action == "stop") {
    Stop();
  }
}

void Node::BeginLeaving() {
  Log(LogLevel::kInfo, kLogComponent, "Leaving.",
      {{"name", settings_.name}, {"active", proxy_.active()}});
  proxy_.BeginLeaving();
  caller_server_.BeginDrain();
  peer_server_.BeginDrain();
  membership_.Announce(MemberState::kLeaving, true);
  const Time now = SteadyNow();
  drain_deadline_ = now + settings_.drain_timeout;
  WaitForDrain(now + std::min(kMinDrainTime, settings_.drain_timeout / 2));
}

void Node::WaitForDrain(Time earliest_end) {
  const Time now = SteadyNow();
  if (now >= drain_deadline_) {
    Log(LogLevel::kWarning, kLogComponent, "The drain timed out.",
        {{"active", proxy_.active()}});
    FireLifecycleEvent("drain_expired");
    return;
  }
  if (now >= earliest_end && !HasActiveCalls()) {
    FireLifecycleEvent("calls_finished");
    return;
  }
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this, earliest_end](const asio::error_code& error) {
    if (!error) {
      WaitForDrain(earliest_end);
    }
  });
}

// A call counts as active until the last byte of its response has been sent.
bool Node::HasActiveCalls() const {
  return proxy_.active() > 0 || caller_server_.stats().busy > 0 ||
         peer_server_.stats().busy > 0;
}

void Node::Stop() {
  caller_server_.Close();
  peer_server_.Close();
  WaitForLastCalls(SteadyNow() + kFinalAnnouncementTime);
}

// Waits again before stopping, because a call may have arrived just before the
// listeners were closed.
void Node::WaitForLastCalls(Time earliest_end) {
  const Time now = SteadyNow();
  const bool timed_out = now >= drain_deadline_;
  if (now >= earliest_end && (timed_out || !HasActiveCalls())) {
    distribution_.Stop();
    membership_.Close();
    io_.stop();
    return;
  }
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this, earliest_end](const asio::error_code&) {
    WaitForLastCalls(earliest_end);
  });
}

NodeStatus Node::Status() const {
  NodeStatus status;
  status.name = settings_.name;
  status.failure_domain = settings_.failure_domain;
  status.region = settings_.region;
  status.service = settings_.upstream.service;
  status.state = lifecycle_.state();
  status.generation = applier_.generation();
  status.newest_known = applier_.refusal().generation;
  if (applier_.snapshot()) {
    status.digest = ToString(applier_.snapshot()->digest);
  }
  status.refused_generation = applier_.refusal().generation;
  status.refusal = applier_.refusal().reason;
  status.platform = distribution_.session_state();
  status.other_history = distribution_.distribution().other_history();
  status.waiting_for = distribution_.waiting_for();
  status.active_calls = proxy_.active();
  status.refused_calls = proxy_.refused();
  status.violations = ViolationCount();
  status.reported = distribution_.fleet();
  for (const auto& [name, member] : directory_.members()) {
    status.members.push_back({name, member.failure_domain, member.region,
                              member.service, member.state,
                              GenerationOf(status.reported, member),
                              proxy_.IsEjected(name)});
  }
  if (applier_.table()) {
    status.groups = MakeGroupStatuses(applier_.table()->document());
  }
  return status;
}

}  // namespace verbenastile
