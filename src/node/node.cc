#include "node/node.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

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
// Connections of callers, peers and operators, and to upstreams.
constexpr std::size_t kNeededFiles = 14'000;
// How long a leaving node still serves callers, by other upstreams. Longer than
// clients of this project keep idle connections, so that none is closed under a
// request; at most half of the drain's time.
constexpr Duration kLeaveNoticeTime = std::chrono::seconds(5);
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);
// How long the last announcement may take on its way out.
constexpr Duration kLastWriteTime = std::chrono::milliseconds(300);

HttpServerInit ServerInit(const SocketAddress& address) {
  HttpServerInit init;
  init.address = address;
  init.error_headers = {
      {std::string(kOutcomeHeader), std::string(kOutcomeNotRun)}};
  return init;
}

Member MakeSelf(const Settings& settings) {
  Member self;
  self.name = settings.name;
  // A node keeps nothing over a restart. Wall-clock milliseconds only raise
  // the first incarnation; the node goes above whatever the others remember.
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

std::vector<GroupStatus> GroupsOf(const RuleDocument& document) {
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
                  MakeSelf(settings_),
                  NondeterministicSeed()),
      distribution_(io_, DistributionInit()),
      proxy_(
          {&io_, &settings_, &applier_, &directory_, &charts_.upstream_health,
           &call_http_, &metrics_, [this] { OnUpstreamLeaving(); }},
          NondeterministicSeed()),
      admin_(
          io_,
          settings_.listen.admin,
          metrics_,
          {std::move(admin_token), [this] { return ToJson(Status()).dump(); },
           [this] { return ready(); }, [this] { Fire("leave_requested"); },
           [this] { return distribution_.waiting_for(); }}),
      peers_(io_,
             ServerInit(settings_.listen.peers),
             [this](HttpRequest request, HttpReply reply) {
               proxy_.OnPeerRequest(std::move(request), std::move(reply));
             }),
      callers_(io_,
               ServerInit(settings_.listen.callers),
               [this](HttpRequest request, HttpReply reply) {
                 proxy_.OnCallerRequest(std::move(request), std::move(reply));
               }) {}

DistributionServiceInit Node::DistributionInit() {
  DistributionServiceInit init;
  init.settings = &settings_;
  init.directory = &directory_;
  init.applier = &applier_;
  init.platform = &platform_;
  init.session_chart = &charts_.platform_session;
  init.metrics = &metrics_;
  init.self = MakeSelf(settings_);
  init.seed = NondeterministicSeed();
  init.on_offered = [this](const OfferedAction& action) { OnOffered(action); };
  return init;
}

int Node::Run() {
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
  if (files < kNeededFiles) {
    Log(LogLevel::kWarning, kLogComponent, "The limit of open files is low.",
        {{"limit", files}, {"needed", kNeededFiles}});
  }
  signals_.async_wait([this](const asio::error_code& error, int) {
    if (!error) {
      Fire("leave_requested");
    }
  });
  admin_.Open([this](const std::string& error) { OnOpened("admin", error); });
  peers_.Open([this](const std::string& error) { OnOpened("peers", error); });
  OnOpened("control", membership_.Open());
  OnOpened("control", distribution_.Start());
}

void Node::OnOpened(std::string_view what, const std::string& error) {
  if (error.empty()) {
    return;
  }
  Log(LogLevel::kError, kLogComponent, "Cannot listen.",
      {{"address", what}, {"error", error}});
  exit_code_ = 1;
  io_.stop();
}

void Node::OnOffered(const OfferedAction& action) {
  metrics_.Set(metrics_.Gauge("generation"),
               static_cast<double>(applier_.generation()));
  switch (action.outcome) {
    case ApplyOutcome::kInForce:
      Log(LogLevel::kInfo, "config", "A generation is in force.",
          {{"generation", applier_.generation()},
           {"digest", ToString(action.offered.digest)}});
      Fire("config_in_force");
      break;
    case ApplyOutcome::kRefused:
      Log(LogLevel::kError, "config", "A generation was refused.",
          {{"generation", action.offered.generation},
           {"reason", applier_.refusal().reason}});
      break;
    case ApplyOutcome::kOlder:
    case ApplyOutcome::kForked:
      Log(LogLevel::kError, "config",
          "The platform holds another history than the one in force.",
          {{"in_force", applier_.generation()},
           {"offered", action.offered.generation}});
      break;
    case ApplyOutcome::kUnchanged:
      break;
  }
}

void Node::OnUpstreamLeaving() {
  asio::post(io_, [this] { Fire("leave_requested"); });
}

void Node::Fire(std::string_view event) {
  for (const std::string& action : lifecycle_.Fire(event).actions) {
    RunAction(action);
  }
}

void Node::RunAction(std::string_view action) {
  if (action == "open_callers") {
    callers_.Open(
        [this](const std::string& error) { OnOpened("callers", error); });
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
  callers_.BeginDrain();
  peers_.BeginDrain();
  membership_.Announce(MemberState::kLeaving, true);
  const Time now = SteadyNow();
  drain_expiry_ = now + settings_.drain_timeout;
  WaitForCalls(now + std::min(kLeaveNoticeTime, settings_.drain_timeout / 2));
}

void Node::WaitForCalls(Time earliest_end) {
  const Time now = SteadyNow();
  if (now >= drain_expiry_) {
    Log(LogLevel::kWarning, kLogComponent, "The drain took too long.",
        {{"active", proxy_.active()}});
    Fire("drain_expired");
    return;
  }
  if (now >= earliest_end && !HasCalls()) {
    Fire("calls_finished");
    return;
  }
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this, earliest_end](const asio::error_code& error) {
    if (!error) {
      WaitForCalls(earliest_end);
    }
  });
}

// Answers count until their last byte has left.
bool Node::HasCalls() const {
  return proxy_.active() > 0 || callers_.stats().busy > 0 ||
         peers_.stats().busy > 0;
}

void Node::Stop() {
  callers_.Close();
  peers_.Close();
  WaitForLastCalls(SteadyNow() + kLastWriteTime);
}

// A call may have arrived just before the addresses were closed.
void Node::WaitForLastCalls(Time earliest_end) {
  const Time now = SteadyNow();
  const bool cut = now >= drain_expiry_;
  if (now >= earliest_end && (cut || !HasCalls())) {
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
    status.groups = GroupsOf(applier_.table()->document());
  }
  return status;
}

}  // namespace verbenastile
