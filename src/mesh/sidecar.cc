#include "mesh/sidecar.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <set>
#include <utility>

#include "base/log.h"
#include "config/yaml_reader.h"
#include "core/shutdown_schedule.h"
#include "io/event_loop.h"
#include "platform/configuration.h"
#include "platform/member_object.h"
#include "platform/wire_names.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "sidecar";
// The source of what the platform's store reported, in log lines.
constexpr std::string_view kStoreSource = "store";

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// Queued calls may still start during 1/3 of the time in which a leaving
// instance may get new work. The rest is a margin: that time starts at the
// acknowledgement, and calls take time to reach the instance.
constexpr int kDrainDivisor = 3;
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);
// How long the acknowledgement of a leaving instance waits for the store. Other
// nodes are told over links at once.
constexpr Duration kAcknowledgeTimeout = std::chrono::milliseconds(400);
constexpr Duration kSettingsCheckInterval = std::chrono::seconds(2);
constexpr Duration kPeriodicInterval = std::chrono::milliseconds(100);
// Timers that fire later than this are logged: calls were delayed as long.
constexpr Duration kMaxLoopLag = std::chrono::milliseconds(50);
// Shortest interval at which members are listed in the store. New members open
// links to all others, so listing only covers the case that this failed.
constexpr Duration kMinMembersPoll = std::chrono::milliseconds(2'500);
// With more members than this the interval grows in proportion, so that the
// fleet's calls to the store do not grow with its size. The maximum limits how
// long a member that disappeared without notice is kept.
constexpr std::size_t kMembersAtMinPoll = 20;
constexpr Duration kMaxMembersPoll = std::chrono::seconds(30);
// Nodes that start together list the members before the others have written
// their records, so the first lists follow each other more closely.
constexpr Duration kDiscoveryPeriod = std::chrono::seconds(3);
constexpr Duration kDiscoveryPoll = std::chrono::seconds(1);
// Configurations change in bursts. The pause between watches merges a burst
// into one call, and into one transfer on small links. Both fit well within the
// two seconds that a change may take.
constexpr Duration kConfigurationWatchPause = std::chrono::milliseconds(1'000);
constexpr std::size_t kMaxControlBodyBytes = 65'536;

Duration MembersPollInterval(std::size_t members) {
  const Duration scaled = kMinMembersPoll * static_cast<std::int64_t>(members) /
                          static_cast<std::int64_t>(kMembersAtMinPoll);
  return std::clamp(scaled, kMinMembersPoll, kMaxMembersPoll);
}

const HttpHeaders& JsonHeaders() {
  static const HttpHeaders headers = {{"Content-Type", "application/json"}};
  return headers;
}

}  // namespace

Sidecar::Sidecar(const SidecarSettings& settings,
                 const platform::Bounds& bounds,
                 NodeCharts charts,
                 std::string path)
    : settings_(settings),
      bounds_(bounds),
      charts_(std::move(charts)),
      settings_path_(std::move(path)),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      drain_timer_(io_),
      settings_timer_(io_),
      periodic_timer_(io_),
      incarnation_(UnixMilliseconds()),
      applier_(&charts_.config_apply),
      lifecycle_(&charts_.lifecycle),
      tracker_(settings_.upstream),
      member_registry_(settings_.name),
      store_(io_, settings_.platform),
      configuration_source_({settings_.link_bytes_per_second, SteadyNow(),
                             NondeterministicSeed()}),
      sender_(io_, PacerInit()),
      inbound_(InboundProxyInit()),
      links_(HubInit()),
      outbound_(OutboundProxyInit()),
      configuration_follower_(ConfigurationInit()),
      member_follower_(MembersInit()),
      publisher_({&io_, &store_, std::string(platform::kMemberKind),
                  settings_.name, NondeterministicSeed()}),
      caller_server_(io_,
                     [this](ExchangePointer exchange) {
                       outbound_.OnRequest(std::move(exchange));
                     }),
      control_server_(
          io_,
          [this](const ExchangePointer& exchange) { OnControlCall(exchange); }),
      ready_server_(
          io_,
          [this](const ExchangePointer& exchange) { OnControlCall(exchange); }),
      metrics_server_(io_, [this](const ExchangePointer& exchange) {
        OnMetrics(exchange);
      }) {
  store_.OnRestored([this](StoreEra previous) {
    OnStoreRestored(store_.era(), previous, kStoreSource);
  });
}

LinkPacerOptions Sidecar::PacerInit() const {
  LinkPacerOptions init;
  init.link_bytes_per_second = settings_.link_bytes_per_second;
  return init;
}

InboundProxy::Init Sidecar::InboundProxyInit() {
  InboundProxy::Init init;
  init.io = &io_;
  init.tracker = &tracker_;
  init.metrics = &metrics_;
  init.headers = platform::kCallHeaders;
  init.configuration = [this] { return ConfigurationInForce(); };
  init.leaving_start_period = [this] {
    return bounds_.drain_period / kDrainDivisor;
  };
  init.on_unreachable = [this] { OnInstanceChanged("unreachable"); };
  init.on_leaving = [this] { OnInstanceChanged("leaving"); };
  init.node_name = settings_.name;
  init.seed = NondeterministicSeed();
  init.suspects = &suspects_;
  init.may_try = [this](std::string_view service, const Digest& request) {
    const Member* member =
        TrialMember(member_registry_.directory(), service, request);
    return member != nullptr && member->name == settings_.name;
  };
  init.on_crash_evidence = [this](std::vector<CrashEvidence> evidence) {
    OnCrashEvidence(std::move(evidence));
  };
  init.link = [this] { return sender_.link_state(); };
  return init;
}

LinkHub::Init Sidecar::HubInit() {
  LinkHub::Init init;
  init.io = &io_;
  init.address = settings_.listen.links;
  init.member_registry = &member_registry_;
  init.gate = &inbound_;
  init.seed = NondeterministicSeed();
  init.sender = &sender_;
  init.self = [this] { return OwnRecord(); };
  init.configuration = [this] { return ConfigurationInForce(); };
  init.configuration_delta = [this](const HeldConfiguration& held) {
    const ConfigurationDelta& delta = configuration_archive_.DeltaFrom(held);
    return delta.bytes.empty() ? nullptr : &delta;
  };
  init.on_response = [this](std::string_view member, LinkFrame frame) {
    outbound_.OnLinkFrame(member, std::move(frame));
  };
  init.on_link_down = [this](std::string_view member) {
    configuration_source_.OnPeerGone(member, SteadyNow());
    outbound_.OnLinkDown(member);
  };
  init.on_link_silent = [this](std::string_view member) {
    configuration_source_.OnPeerGone(member, SteadyNow());
    outbound_.OnLinkSilent(member);
  };
  init.on_load = [this](std::string_view member, const GateLoad& load) {
    outbound_.OnLoad(member, load);
    configuration_source_.OnPeerConfiguration(member, load.configuration,
                                              SteadyNow());
    if (store_.OnPeerEra(load.configuration.store_era)) {
      OnStoreRestored(load.configuration.store_era, store_.era(), member);
    }
  };
  init.on_member_record = [this](const MemberRecord& record) {
    MergeRecord(record);
  };
  init.crash_evidence = [this] { return suspects_.Shared(); };
  init.on_crash_evidence = [this](std::string_view member,
                                  std::span<const CrashEvidence> evidence) {
    MergeCrashEvidence(member, evidence);
  };
  init.on_configuration = [this](const ConfigurationDelta& delta) {
    OnConfigurationDelta(delta);
  };
  return init;
}

OutboundProxy::Init Sidecar::OutboundProxyInit() {
  OutboundProxy::Init init;
  init.io = &io_;
  init.node_name = settings_.name;
  init.link_bytes_per_second = settings_.link_bytes_per_second;
  init.failure_domain = settings_.failure_domain;
  init.region = settings_.region;
  init.applier = &applier_;
  init.member_registry = &member_registry_;
  init.health_chart = &charts_.upstream_health;
  init.inbound_proxy = &inbound_;
  init.links = &links_;
  init.suspects = &suspects_;
  init.on_crash_evidence = [this](std::vector<CrashEvidence> evidence) {
    OnCrashEvidence(std::move(evidence));
  };
  init.metrics = &metrics_;
  init.headers = platform::kCallHeaders;
  init.allowance = AllowanceLimits();
  init.seed = NondeterministicSeed();
  init.caller_service = [this] { return settings_.service; };
  init.configuration_age = [this] { return ConfigurationAge(); };
  return init;
}

StoreFollower::Init Sidecar::FollowerInit(std::string_view kind) {
  StoreFollower::Init init;
  init.io = &io_;
  init.store = &store_;
  init.chart = &charts_.platform_session;
  init.kind = kind;
  init.seed = NondeterministicSeed();
  return init;
}

StoreFollower::Init Sidecar::ConfigurationInit() {
  StoreFollower::Init init = FollowerInit(platform::kConfigurationKind);
  init.watch_delay = kConfigurationWatchPause;
  init.follower_count = [this] {
    return configuration_source_.ReaderCount() + 1;
  };
  init.on_listed = [this](const std::vector<StoreObject>& items) {
    for (const StoreObject& object : items) {
      OnConfigurationObject(object);
    }
  };
  init.on_event = [this](const StoreEvent& event) {
    if (!event.deleted) {
      OnConfigurationObject(event.object);
    }
  };
  if (configuration_source_.is_reader()) {
    init.on_unchanged = [this] { links_.AnnounceConfiguration(); };
  }
  return init;
}

StoreFollower::Init Sidecar::MembersInit() {
  StoreFollower::Init init = FollowerInit(platform::kMemberKind);
  init.poll_interval = [this] {
    if (SteadyNow() - started_ < kDiscoveryPeriod) {
      return kDiscoveryPoll;
    }
    return MembersPollInterval(member_registry_.entries().size());
  };
  init.on_listed = [this](const std::vector<StoreObject>& items) {
    OnMembersListed(items);
  };
  return init;
}

FleetRetryBudgetLimits Sidecar::AllowanceLimits() const {
  FleetRetryBudgetLimits limits;
  limits.ratio_permille = bounds_.retry_budget_permille;
  limits.fixed_allowance = bounds_.retry_budget_slack;
  limits.window = bounds_.retry_budget_window;
  return limits;
}

int Sidecar::Run() {
  Log(LogLevel::kInfo, kLogComponent, "Started.",
      {{"name", settings_.name},
       {"incarnation", incarnation_},
       {"failure_domain", settings_.failure_domain},
       {"service", settings_.service},
       {"upstream", ToString(settings_.upstream)},
       {"platform", ToString(settings_.platform)}});
  if (!Listen()) {
    FlushLog();
    return 1;
  }
  MergeRecord(OwnRecord());
  // Only blocks count at the start: clearances are older than what the store
  // and the peers know.
  std::map<Digest, RequestOverride> cleared = settings_.requests;
  std::erase_if(cleared, [](const auto& entry) {
    return entry.second != RequestOverride::kCleared;
  });
  ApplyRequestOverrides(cleared);
  member_follower_.Start();
  UpdateConfigurationSource(SteadyNow());
  WatchSettingsFile();
  SchedulePeriodicWork();
  const CounterHandle errors = metrics_.Counter("handler_errors_total");
  RunEventLoop(io_, [&](std::string_view error) {
    metrics_.Add(errors);
    Log(LogLevel::kError, kLogComponent, "An event handler failed.",
        {{"error", error}});
  });
  Log(LogLevel::kInfo, kLogComponent, "Stopped.", {{"name", settings_.name}});
  FlushLog();
  return exit_code_;
}

bool Sidecar::Listen() {
  signals_.async_wait([this](const asio::error_code& error, int number) {
    if (!error) {
      OnSignal(number);
    }
  });
  Http1ServerLimits control_limits;
  control_limits.message.max_body_bytes = kMaxControlBodyBytes;
  control_server_.SetLimits(control_limits);
  ready_server_.SetLimits(control_limits);
  metrics_server_.SetLimits(control_limits);
  const std::pair<std::string_view, std::string> results[] = {
      {"callers", caller_server_.Open(settings_.listen.callers)},
      {"control", control_server_.Open(settings_.listen.control)},
      {"ready", ready_server_.Open(settings_.listen.ready)},
      {"metrics", metrics_server_.Open(settings_.listen.metrics)},
      {"links", links_.Open()}};
  bool open = true;
  for (const auto& [what, error] : results) {
    if (!error.empty()) {
      Log(LogLevel::kError, kLogComponent, "Cannot listen.",
          {{"address", what}, {"error", error}});
      open = false;
    }
  }
  return open;
}

void Sidecar::OnSignal(int number) {
  if (number == SIGHUP) {
    ReloadSettings("signal");
  } else {
    FireEvent("leave_requested");
  }
  signals_.async_wait([this](const asio::error_code& error, int next) {
    if (!error) {
      OnSignal(next);
    }
  });
}

void Sidecar::FireEvent(std::string_view event) {
  for (const std::string& action : lifecycle_.Fire(event).actions) {
    RunAction(action);
  }
}

void Sidecar::RunAction(std::string_view action) {
  if (action == "announce_serving") {
    Log(LogLevel::kInfo, kLogComponent, "Serving.",
        {{"name", settings_.name}, {"generation", applier_.generation()}});
  } else if (action == "announce_leaving") {
    BeginLeaving();
  } else if (action == "stop") {
    Stop();
  }
}

void Sidecar::BeginLeaving() {
  leaving_since_ = SteadyNow();
  Log(LogLevel::kInfo, kLogComponent, "Leaving.",
      {{"name", settings_.name},
       {"requests", outbound_.active()},
       {"calls", inbound_.active()},
       {"instance", ToString(tracker_.state())}});
  caller_server_.BeginDrain();
  CheckDrain();
}

void Sidecar::CheckDrain() {
  const bool busy = outbound_.active() > 0 || inbound_.active() > 0 ||
                    caller_server_.stats().busy > 0;
  const ShutdownState state = ShutdownStateAt(SteadyNow() - leaving_since_,
                                              busy, bounds_.termination_grace);
  if (!state.accepts_calls && !std::exchange(leaving_, true)) {
    OnInstanceChanged("node leaving");
  }
  if (!state.accepts_requests) {
    // From now on callers find the address closed and send requests that were
    // not read to other nodes.
    caller_server_.CloseIdle();
  }
  if (state.outcome == ShutdownOutcome::kTimedOut) {
    Log(LogLevel::kWarning, kLogComponent, "The drain timed out.",
        {{"requests", outbound_.active()}, {"calls", inbound_.active()}});
    FireEvent("drain_expired");
    return;
  }
  if (state.outcome == ShutdownOutcome::kCompleted) {
    FireEvent("calls_finished");
    return;
  }
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      CheckDrain();
    }
  });
}

void Sidecar::Stop() {
  caller_server_.CloseIdle();
  if (tracker_.state() == InstanceState::kGone) {
    publisher_.Delete();
  }
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this](const asio::error_code&) { io_.stop(); });
}

void Sidecar::ReloadSettings(std::string_view why) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(text, ReadConfigFile(settings_path_));
        settings_text_ = text;
        BOOST_LEAF_AUTO(new_settings,
                        ParseSidecarSettings(text, settings_path_));
        const bool service_changed = new_settings.service != settings_.service;
        settings_.service = new_settings.service;
        settings_.log_level = new_settings.log_level;
        settings_.bounds = new_settings.bounds;
        const auto requests_before =
            std::exchange(settings_.requests, new_settings.requests);
        SetLogLevel(settings_.log_level);
        const auto bounds = platform::ParseBounds(settings_.bounds);
        if (const auto* parsed = std::get_if<platform::Bounds>(&bounds)) {
          bounds_ = *parsed;
          outbound_.SetRetryAllowance(AllowanceLimits());
        }
        Log(LogLevel::kInfo, kLogComponent, "Reloaded the settings.",
            {{"why", why}, {"service", settings_.service}});
        ApplyRequestOverrides(requests_before);
        if (service_changed) {
          OnInstanceChanged("settings");
        }
        return {};
      },
      [&](const ConfigError& error) {
        Log(LogLevel::kError, kLogComponent,
            "The new settings are invalid; keeping the old ones.",
            {{"why", why}, {"error", ToString(error)}});
      },
      [&] {
        Log(LogLevel::kError, kLogComponent, "Cannot read the settings.",
            {{"why", why}});
      });
}

// Polls the settings file, because it may change without a signal.
void Sidecar::WatchSettingsFile() {
  settings_timer_.expires_after(kSettingsCheckInterval);
  settings_timer_.async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(text, ReadConfigFile(settings_path_));
          if (settings_text_.empty()) {
            settings_text_ = text;
          } else if (text != settings_text_) {
            ReloadSettings("file changed");
          }
          return {};
        },
        [&](const ConfigError& fault) {
          Log(LogLevel::kWarning, kLogComponent,
              "Cannot read the settings file.", {{"error", ToString(fault)}});
        },
        [] {});
    WatchSettingsFile();
  });
}

void Sidecar::OnControlCall(const ExchangePointer& exchange) {
  const Http1Head& head = exchange->head();
  const auto call =
      platform::ParseControlCall(head.method, head.target, exchange->body());
  if (std::holds_alternative<platform::ReadinessProbe>(call)) {
    OnReadyCheck(exchange);
  } else if (const auto* report = std::get_if<InstanceReport>(&call)) {
    OnHeartbeat(exchange, *report);
  } else if (const auto* leave = std::get_if<platform::DeregisterCall>(&call)) {
    OnDeregister(exchange, leave->id);
  } else if (const auto* error = std::get_if<platform::FormatError>(&call)) {
    Log(LogLevel::kWarning, "control", "Cannot parse a control call.",
        {{"target", head.target}, {"error", error->reason}});
    exchange->Send(kBadRequest, JsonHeaders(), "{}");
  } else {
    exchange->Send(kNotFound, JsonHeaders(), "{}");
  }
}

void Sidecar::OnReadyCheck(const ExchangePointer& exchange) {
  const bool ready =
      lifecycle_.state() == "serving" && member_follower_.listed();
  exchange->Send(ready ? kOk : kUnavailable, JsonHeaders(), "{}");
}

void Sidecar::OnHeartbeat(const ExchangePointer& exchange,
                          const InstanceReport& report) {
  const ReportVerdict verdict = tracker_.OnReport(report, SteadyNow());
  if (verdict == ReportVerdict::kUnchanged) {
    exchange->Send(kOk, JsonHeaders(), "{}");
    return;
  }
  Log(verdict == ReportVerdict::kChanged ? LogLevel::kInfo : LogLevel::kWarning,
      "control", "Received a report of the instance.",
      {{"instance", report.id},
       {"verdict", ToString(verdict)},
       {"state", ToString(tracker_.state())},
       {"service", report.service},
       {"address", ToString(report.address)},
       {"slots", report.slots},
       {"sequence", report.sequence},
       {"started_ms", report.started_ms}});
  if (verdict != ReportVerdict::kChanged) {
    exchange->Send(kOk, JsonHeaders(), "{}");
    return;
  }
  OnInstanceChanged("report");
  if (report.leaving) {
    AcknowledgeWhenPublished(exchange);
  } else {
    exchange->Send(kOk, JsonHeaders(), "{}");
  }
}

void Sidecar::OnDeregister(const ExchangePointer& exchange,
                           const std::string& id) {
  const ReportVerdict verdict = tracker_.OnDeregistered(id, SteadyNow());
  Log(LogLevel::kInfo, "control", "The instance deregistered.",
      {{"instance", id}, {"verdict", ToString(verdict)}});
  if (verdict != ReportVerdict::kChanged) {
    exchange->Send(kOk, JsonHeaders(), "{}");
    return;
  }
  OnInstanceChanged("deregistered");
  AcknowledgeWhenPublished(exchange);
}

void Sidecar::AcknowledgeWhenPublished(const ExchangePointer& exchange) {
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [exchange, answered] {
    if (!std::exchange(*answered, true)) {
      exchange->Send(kOk, JsonHeaders(), "{}");
    }
  };
  const auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(kAcknowledgeTimeout);
  timer->async_wait([timer, answer](const asio::error_code&) { answer(); });
  PublishOwnRecord(answer);
}

void Sidecar::OnMetrics(const ExchangePointer& exchange) {
  metrics_.Set(metrics_.Gauge("generation"),
               static_cast<double>(applier_.generation()));
  metrics_.Set(metrics_.Gauge("members"),
               static_cast<double>(member_registry_.entries().size()));
  metrics_.Set(metrics_.Gauge("open_links"),
               static_cast<double>(links_.open_links()));
  metrics_.Set(metrics_.Gauge("store_calls"),
               static_cast<double>(store_.calls()));
  metrics_.Set(metrics_.Gauge("crash_suspects"),
               static_cast<double>(suspects_.size()));
  metrics_.Set(metrics_.Gauge("blocked_requests"),
               static_cast<double>(suspects_.blocked()));
  metrics_.Set(metrics_.Gauge("log_lines_dropped"),
               static_cast<double>(DroppedLogLines()));
  exchange->Send(kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                 metrics_.RenderPrometheus());
}

void Sidecar::OnInstanceChanged(std::string_view why) {
  ++sequence_;
  inbound_.OnInstanceChanged();
  MergeRecord(OwnRecord());
  links_.AnnounceSelf();
  const MemberRecord self = OwnRecord();
  Log(LogLevel::kInfo, kLogComponent, "The node's record changed.",
      {{"why", why},
       {"sequence", sequence_},
       {"instance", ToString(tracker_.state())},
       {"serving", self.member.serving}});
  PublishOwnRecord(nullptr);
}

MemberRecord Sidecar::OwnRecord() const {
  MemberRecord record;
  Member& member = record.member;
  member.name = settings_.name;
  member.incarnation = incarnation_;
  record.sequence = sequence_;
  member.state = leaving_ ? MemberState::kLeaving : MemberState::kAlive;
  member.failure_domain = settings_.failure_domain;
  member.region = settings_.region;
  member.service = settings_.service;
  member.peer_address = settings_.listen.links_from_outside;
  member.serving = tracker_.serves();
  if (tracker_.report()) {
    member.service = tracker_.report()->service;
    member.slots = tracker_.report()->slots;
    record.instance = tracker_.report()->id;
    record.instance_sequence = tracker_.report()->sequence;
  }
  record.instance_gone = tracker_.state() == InstanceState::kGone;
  record.instance_leaving = tracker_.is_leaving();
  record.instance_left_by_response = tracker_.said_leaving_in_response();
  record.crash_evidence = suspects_.SeenBy(settings_.name);
  return record;
}

void Sidecar::PublishOwnRecord(std::function<void()> on_written) {
  const MemberRecord self = OwnRecord();
  std::string record_state =
      fmt::format("{} {} {} {}", self.instance, self.instance_leaving,
                  self.instance_gone, self.instance_left_by_response);
  for (const CrashEvidence& evidence : self.crash_evidence) {
    record_state += fmt::format(" {} {} {}", ToString(evidence.request),
                                evidence.clearances, evidence.crashes.size());
  }
  if (self.instance.empty() || record_state == published_state_) {
    if (on_written) {
      publisher_.WhenWritten(std::move(on_written));
    }
    return;
  }
  if (!has_listed_members_) {
    if (on_written) {
      on_first_publish_ = std::move(on_written);
    }
    return;
  }
  published_state_ = std::move(record_state);
  publisher_.Publish(platform::FormatMember(self), std::move(on_written));
}

void Sidecar::OnConfigurationObject(const StoreObject& object) {
  if (object.name == platform::kConfigurationName) {
    ApplyConfiguration(object.spec, kStoreSource);
  }
}

void Sidecar::ApplyConfiguration(std::string text, std::string_view source) {
  auto parsed = platform::ParseConfiguration(text);
  if (const auto* error = std::get_if<platform::FormatError>(&parsed)) {
    Log(LogLevel::kError, "config", "Cannot parse a configuration.",
        {{"source", source}, {"error", error->reason}});
    return;
  }
  auto& configuration = std::get<platform::Configuration>(parsed);
  const Generation offered = configuration.generation;
  const Generation before = applier_.generation();
  const ApplyOutcome outcome =
      applier_.Offer(offered, std::move(configuration.document));
  if (outcome == ApplyOutcome::kUnchanged) {
    return;
  }
  if (outcome != ApplyOutcome::kInForce) {
    Log(LogLevel::kError, "config", "Rejected a configuration.",
        {{"source", source},
         {"offered", offered},
         {"in_force", before},
         {"reason", applier_.refusal().reason}});
    return;
  }
  const std::size_t bytes = text.size();
  configuration_archive_.Add(offered, std::move(text));
  configuration_source_.OnApplied(offered);
  caller_server_.SetLimits(configuration.limits);
  Log(LogLevel::kInfo, "config", "Applied a configuration.",
      {{"generation", offered},
       {"before", before},
       {"source", source},
       {"bytes", bytes},
       {"rules", applier_.table()->document().rules.size()}});
  if (configuration_source_.is_reader()) {
    links_.AnnounceConfiguration();
  }
  FireEvent("config_in_force");
}

void Sidecar::OnConfigurationDelta(const ConfigurationDelta& delta) {
  auto applied = configuration_archive_.Apply(delta);
  if (const auto* error = std::get_if<ArchiveError>(&applied)) {
    Log(LogLevel::kWarning, "config",
        "Cannot apply a peer's configuration delta.",
        {{"base", delta.base.generation},
         {"generation", delta.to.generation},
         {"in_force", applier_.generation()},
         {"error", error->reason}});
    return;
  }
  ApplyConfiguration(std::move(std::get<std::string>(applied)), "peer");
}

void Sidecar::UpdateConfigurationSource(Time now) {
  const bool follow_store = configuration_source_.ShouldWatchStore(now);
  if (follow_store != std::exchange(follows_store_, follow_store)) {
    Log(LogLevel::kInfo, "config",
        follow_store ? "Following the store for the configuration."
                     : "Following peers for the configuration.",
        {{"in_force", applier_.generation()}});
    follow_store ? configuration_follower_.Start()
                 : configuration_follower_.Stop();
  }
  if (const auto peer = configuration_source_.SelectPeerToQuery(now)) {
    const HeldConfiguration held = configuration_archive_.newest();
    Log(LogLevel::kInfo, "config", "Requesting the configuration from a peer.",
        {{"peer", *peer}, {"in_force", held.generation}});
    links_.Send(*peer, {0, LinkConfigurationRequest{held}});
  }
}

PeerConfiguration Sidecar::ConfigurationInForce() const {
  PeerConfiguration in_force{applier_.generation(), std::nullopt, store_.era()};
  if (configuration_source_.is_reader() &&
      configuration_follower_.is_connected()) {
    in_force.age =
        SteadyNow() - configuration_follower_.last_confirmed().value_or(Time());
  }
  return in_force;
}

// The configuration in force, the members that are linked and the state of the
// local instance are kept: they are newer than the backup. Readers tell the
// nodes that do not watch the store.
void Sidecar::OnStoreRestored(StoreEra era,
                              StoreEra previous,
                              std::string_view source) {
  Log(LogLevel::kWarning, "store", "The store was restored from a backup.",
      {{"era", era},
       {"previous_era", previous},
       {"source", source},
       {"generation", applier_.generation()},
       {"instance", ToString(tracker_.state())}});
  configuration_follower_.OnStoreRestored(era);
  publisher_.OnStoreRestored(era);
  if (configuration_source_.is_reader() && source == kStoreSource) {
    links_.AnnounceConfiguration();
  }
}

void Sidecar::OnMembersListed(const std::vector<StoreObject>& items) {
  std::set<std::string_view> names;
  for (const StoreObject& object : items) {
    names.insert(object.name);
    OnMemberObject(object);
  }
  if (!has_listed_members_) {
    // The list brought the revision of the record that an earlier run of this
    // node wrote, so that one write replaces it.
    has_listed_members_ = true;
    PublishOwnRecord(std::exchange(on_first_publish_, nullptr));
  }
  std::vector<std::pair<std::string, std::uint64_t>> gone;
  for (const auto& [name, entry] : member_registry_.entries()) {
    if (!entry.linked && name != settings_.name && !names.contains(name)) {
      gone.emplace_back(name, entry.record.member.incarnation);
    }
  }
  for (const auto& [name, incarnation] : gone) {
    Log(LogLevel::kInfo, "members",
        "Removed a member that is no longer in the store.", {{"name", name}});
    member_registry_.Forget(name, incarnation);
  }
  links_.UpdateLinks();
}

void Sidecar::MergeCrashEvidence(std::string_view source,
                                 std::span<const CrashEvidence> evidence) {
  bool changed = false;
  std::vector<CrashEvidence> newer;
  for (const CrashEvidence& item : evidence) {
    const MergeResult result = suspects_.Merge(item, SteadyNow());
    if (result.added) {
      changed = true;
      LogVerdict(source, item);
    }
    if (const auto known = suspects_.Known(item.request);
        known && result.sender_is_behind) {
      newer.push_back(*known);
    }
  }
  if (changed) {
    PublishCrashEvidence();
  }
  if (changed && source == kStoreSource) {
    // Peers that started together with this node, and cannot read the store,
    // have this part from nobody else.
    std::vector<CrashEvidence> own = suspects_.SeenBy(settings_.name);
    if (!own.empty()) {
      links_.AnnounceCrashEvidence(std::move(own));
    }
  }
  if (!newer.empty() && source != kStoreSource) {
    links_.Send(source, {0, LinkCrashEvidence{std::move(newer)}});
  }
}

void Sidecar::OnCrashEvidence(std::vector<CrashEvidence> evidence) {
  for (const CrashEvidence& item : evidence) {
    LogVerdict(settings_.name, item);
  }
  links_.AnnounceCrashEvidence(std::move(evidence));
  PublishCrashEvidence();
}

void Sidecar::ApplyRequestOverrides(
    const std::map<Digest, RequestOverride>& before) {
  std::vector<CrashEvidence> evidence;
  for (const auto& [request, decision] : settings_.requests) {
    const auto known = before.find(request);
    if (known != before.end() && known->second == decision) {
      continue;
    }
    evidence.push_back(decision == RequestOverride::kCleared
                           ? suspects_.Clear(request, SteadyNow())
                           : suspects_.Convict(request, SteadyNow()));
  }
  if (!evidence.empty()) {
    OnCrashEvidence(std::move(evidence));
  }
}

// A node that stops may delete its record; its peers keep the evidence.
void Sidecar::PublishCrashEvidence() {
  if (!leaving_) {
    PublishOwnRecord(nullptr);
  }
}

// One crash, or a clearance, is logged by the node that saw it only.
void Sidecar::LogVerdict(std::string_view source,
                         const CrashEvidence& evidence) const {
  const SuspectVerdict verdict = suspects_.Judge(evidence.request);
  if (verdict == SuspectVerdict::kSuspect ||
      (verdict == SuspectVerdict::kUnsuspected && source != settings_.name)) {
    return;
  }
  std::string nodes;
  for (const CrashId& crash : suspects_.CrashesOf(evidence.request)) {
    nodes += (nodes.empty() ? "" : ",") + crash.node;
  }
  Log(verdict == SuspectVerdict::kUnsuspected ? LogLevel::kInfo
                                              : LogLevel::kWarning,
      "suspects", "New evidence on a request that may end instances.",
      {{"digest", ToString(evidence.request)},
       {"verdict", ToString(verdict)},
       {"crashes_at", nodes},
       {"clearances", evidence.clearances},
       {"source", source}});
}

void Sidecar::OnMemberObject(const StoreObject& object) {
  if (object.name == settings_.name) {
    publisher_.UpdateRevision(object.revision);
  }
  const auto parsed = platform::ParseMember(object.spec);
  if (const auto* error = std::get_if<platform::FormatError>(&parsed)) {
    Log(LogLevel::kWarning, "members", "Cannot parse a member's record.",
        {{"name", object.name}, {"error", error->reason}});
    return;
  }
  const auto& record = std::get<MemberRecord>(parsed);
  if (record.member.name != object.name) {
    Log(LogLevel::kWarning, "members",
        "Ignored a record that names another member.",
        {{"name", object.name}, {"named", record.member.name}});
    return;
  }
  MergeCrashEvidence(kStoreSource, record.crash_evidence);
  if (object.name != settings_.name) {
    StoreRecord(record);
  } else if (record.member.incarnation < incarnation_ &&
             record.instance_leaving) {
    const Time now = SteadyNow();
    bool changed = tracker_.RestoreDeparted(
        record.instance, record.instance_gone, record.instance_sequence, now);
    if (record.instance_left_by_response) {
      changed = tracker_.OnLeavingResponse(record.instance, now) ==
                    ReportVerdict::kChanged ||
                changed;
    }
    if (changed) {
      OnInstanceChanged("record of an earlier run");
    }
  }
}

void Sidecar::MergeRecord(const MemberRecord& record) {
  if (StoreRecord(record)) {
    links_.UpdateLinks();
  }
}

bool Sidecar::StoreRecord(const MemberRecord& record) {
  if (!member_registry_.Merge(record, SteadyNow())) {
    return false;
  }
  if (record.member.name != settings_.name) {
    Log(LogLevel::kInfo, "members", "A member's record changed.",
        {{"name", record.member.name},
         {"incarnation", record.member.incarnation},
         {"sequence", record.sequence},
         {"service", record.member.service},
         {"state", ToString(record.member.state)},
         {"serving", record.member.serving},
         {"instance", record.instance},
         {"instance_leaving", record.instance_leaving},
         {"slots", record.member.slots}});
  }
  if (record.instance_leaving) {
    outbound_.OnPeerNotice(record.member.name,
                           {record.instance, std::nullopt, true});
  }
  return true;
}

Duration Sidecar::ConfigurationAge() const {
  const auto confirmed = std::max(configuration_follower_.last_confirmed(),
                                  configuration_source_.last_confirmed());
  return confirmed ? SteadyNow() - *confirmed : Duration::max();
}

// The lag of timers shows how long calls wait for the CPU on this node.
void Sidecar::RecordLoopLag(Duration lag) {
  metrics_.Observe(metrics_.Summary("loop_lag_microseconds"),
                   static_cast<double>(lag.count()));
  if (lag > kMaxLoopLag) {
    Log(LogLevel::kWarning, kLogComponent, "The event loop lagged.",
        {{"lag_ms", ToMilliseconds(lag)},
         {"requests", outbound_.active()},
         {"calls", inbound_.active()}});
  }
}

void Sidecar::SchedulePeriodicWork() {
  const Time due = SteadyNow() + kPeriodicInterval;
  periodic_timer_.expires_after(kPeriodicInterval);
  periodic_timer_.async_wait([this, due](const asio::error_code& error) {
    if (!error) {
      SchedulePeriodicWork();
      const Time now = SteadyNow();
      RecordLoopLag(now - due);
      UpdateConfigurationSource(now);
      FlushLog();
    }
  });
}

}  // namespace verbenastile
