#include "mesh/sidecar.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <set>
#include <utility>

#include "base/log.h"
#include "config/yaml_reader.h"
#include "core/leave_schedule.h"
#include "platform/configuration.h"
#include "platform/member_object.h"
#include "platform/wire_names.h"

namespace verbenastile {
namespace {

constexpr std::string_view kPart = "sidecar";

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// The part of the bound on new work for a leaving instance in which waiting
// calls still start; it runs from the acknowledgement, and they travel.
constexpr int kDrainDivisor = 3;
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);
// How long the acknowledgement of a leaving instance waits for the store; the
// other nodes are told by links at once.
constexpr Duration kAcknowledgeWait = std::chrono::milliseconds(400);
constexpr Duration kSettingsCheckInterval = std::chrono::seconds(2);
constexpr Duration kFlushInterval = std::chrono::milliseconds(100);
// Timers that fire later than this are told of: calls waited as long.
constexpr Duration kLongLag = std::chrono::milliseconds(50);
// New members open links to all others, so that the store is only asked in case
// that this failed.
constexpr Duration kMembersPoll = std::chrono::milliseconds(2'500);
// With more members they are listed less often, so that the fleet's calls do
// not grow with it; up to a bound on how long one that went silently is kept.
constexpr std::size_t kMembersPolledOften = 20;
constexpr Duration kLongestMembersPoll = std::chrono::seconds(30);
// Configurations come in bursts; a rest between watches makes them one call,
// and one transfer on small links. With both well within the bound of two
// seconds on a change.
constexpr Duration kConfigurationRest = std::chrono::milliseconds(1'000);
constexpr std::size_t kMaxControlBodyBytes = 65'536;

Duration MembersPoll(std::size_t members) {
  const Duration scaled = kMembersPoll * static_cast<std::int64_t>(members) /
                          static_cast<std::int64_t>(kMembersPolledOften);
  return std::clamp(scaled, kMembersPoll, kLongestMembersPoll);
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
      file_timer_(io_),
      flush_timer_(io_),
      incarnation_(UnixMilliseconds()),
      applier_(&charts_.config_apply),
      lifecycle_(&charts_.lifecycle),
      tracker_(settings_.upstream),
      member_registry_(settings_.name),
      store_(io_, settings_.platform),
      source_({settings_.link_bytes_per_second, SteadyNow(), FreshSeed()}),
      sender_(io_, PacerInit()),
      gate_(GateInit()),
      links_(HubInit()),
      origin_(OriginInit()),
      configuration_(ConfigurationInit()),
      members_(MembersInit()),
      publisher_({&io_, &store_, std::string(platform::kMemberKind),
                  settings_.name, FreshSeed()}),
      callers_(io_,
               [this](ExchangePointer exchange) {
                 origin_.OnRequest(std::move(exchange));
               }),
      control_(
          io_,
          [this](const ExchangePointer& exchange) { OnControl(exchange); }),
      ready_(io_,
             [this](const ExchangePointer& exchange) { OnControl(exchange); }),
      metrics_server_(io_, [this](const ExchangePointer& exchange) {
        OnMetrics(exchange);
      }) {}

LinkPacerInit Sidecar::PacerInit() const {
  LinkPacerInit init;
  init.link_bytes_per_second = settings_.link_bytes_per_second;
  return init;
}

Gate::Init Sidecar::GateInit() {
  Gate::Init init;
  init.io = &io_;
  init.tracker = &tracker_;
  init.metrics = &metrics_;
  init.headers = platform::kCallHeaders;
  init.configuration = [this] { return InForce(); };
  init.leaving_start_time = [this] { return bounds_.drain / kDrainDivisor; };
  init.on_unreachable = [this] { OnInstanceChanged("unreachable"); };
  init.link = [this] { return sender_.link(); };
  return init;
}

LinkHub::Init Sidecar::HubInit() {
  LinkHub::Init init;
  init.io = &io_;
  init.address = settings_.listen.links;
  init.member_registry = &member_registry_;
  init.gate = &gate_;
  init.seed = FreshSeed();
  init.sender = &sender_;
  init.self = [this] { return Self(); };
  init.configuration = [this] { return InForce(); };
  init.configuration_delta = [this](const HeldConfiguration& held) {
    const ConfigurationDelta& delta = archive_.DeltaFrom(held);
    return delta.bytes.empty() ? nullptr : &delta;
  };
  init.on_answer = [this](std::string_view member, LinkFrame frame) {
    origin_.OnAnswer(member, std::move(frame));
  };
  init.on_down = [this](std::string_view member) {
    source_.OnPeerGone(member, SteadyNow());
    origin_.OnDown(member);
  };
  init.on_load = [this](std::string_view member, const GateLoad& load) {
    origin_.OnLoad(member, load);
    source_.OnPeerConfiguration(member, load.configuration, SteadyNow());
  };
  init.on_record = [this](const MemberRecord& record) { OnRecord(record); };
  init.on_configuration = [this](const ConfigurationDelta& delta) {
    OnConfigurationDelta(delta);
  };
  return init;
}

Origin::Init Sidecar::OriginInit() {
  Origin::Init init;
  init.io = &io_;
  init.node = settings_.name;
  init.link_bytes_per_second = settings_.link_bytes_per_second;
  init.failure_domain = settings_.failure_domain;
  init.region = settings_.region;
  init.applier = &applier_;
  init.member_registry = &member_registry_;
  init.health_chart = &charts_.upstream_health;
  init.gate = &gate_;
  init.links = &links_;
  init.metrics = &metrics_;
  init.headers = platform::kCallHeaders;
  init.allowance = AllowanceLimits();
  init.seed = FreshSeed();
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
  init.seed = FreshSeed();
  return init;
}

StoreFollower::Init Sidecar::ConfigurationInit() {
  StoreFollower::Init init = FollowerInit(platform::kConfigurationKind);
  init.rest = kConfigurationRest;
  init.followers = [this] { return source_.ReaderCount() + 1; };
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
  if (source_.is_reader()) {
    init.on_quiet = [this] { links_.AnnounceConfiguration(); };
  }
  return init;
}

StoreFollower::Init Sidecar::MembersInit() {
  StoreFollower::Init init = FollowerInit(platform::kMemberKind);
  init.poll = [this] { return MembersPoll(member_registry_.entries().size()); };
  init.on_listed = [this](const std::vector<StoreObject>& items) {
    OnMembersListed(items);
  };
  return init;
}

RetryAllowanceLimits Sidecar::AllowanceLimits() const {
  RetryAllowanceLimits limits;
  limits.ratio_permille = bounds_.repeat_permille;
  limits.slack = bounds_.repeat_slack;
  limits.window = bounds_.repeat_window;
  return limits;
}

int Sidecar::Run() {
  Log(LogLevel::kInfo, kPart, "Started.",
      {{"name", settings_.name},
       {"incarnation", incarnation_},
       {"failure_domain", settings_.failure_domain},
       {"service", settings_.service},
       {"upstream", ToString(settings_.upstream)},
       {"platform", ToString(settings_.platform)}});
  if (!Open()) {
    FlushLog();
    return 1;
  }
  OnRecord(Self());
  members_.Start();
  CheckConfigurationSource(SteadyNow());
  WatchSettingsFile();
  ScheduleFlush();
  io_.run();
  Log(LogLevel::kInfo, kPart, "Stopped.", {{"name", settings_.name}});
  FlushLog();
  return exit_code_;
}

bool Sidecar::Open() {
  signals_.async_wait([this](const asio::error_code& error, int number) {
    if (!error) {
      OnSignal(number);
    }
  });
  Http1ServerLimits control_limits;
  control_limits.message.max_body_bytes = kMaxControlBodyBytes;
  control_.SetLimits(control_limits);
  ready_.SetLimits(control_limits);
  metrics_server_.SetLimits(control_limits);
  const std::pair<std::string_view, std::string> results[] = {
      {"callers", callers_.Open(settings_.listen.callers)},
      {"control", control_.Open(settings_.listen.control)},
      {"ready", ready_.Open(settings_.listen.ready)},
      {"metrics", metrics_server_.Open(settings_.listen.metrics)},
      {"links", links_.Open()}};
  bool open = true;
  for (const auto& [what, error] : results) {
    if (!error.empty()) {
      Log(LogLevel::kError, kPart, "Cannot listen.",
          {{"address", what}, {"error", error}});
      open = false;
    }
  }
  return open;
}

void Sidecar::OnSignal(int number) {
  if (number == SIGHUP) {
    Reload("signal");
  } else {
    Fire("leave_requested");
  }
  signals_.async_wait([this](const asio::error_code& error, int next) {
    if (!error) {
      OnSignal(next);
    }
  });
}

void Sidecar::Fire(std::string_view event) {
  for (const std::string& action : lifecycle_.Fire(event).actions) {
    RunAction(action);
  }
}

void Sidecar::RunAction(std::string_view action) {
  if (action == "announce_serving") {
    Log(LogLevel::kInfo, kPart, "Serving.",
        {{"name", settings_.name}, {"generation", applier_.generation()}});
  } else if (action == "announce_leaving") {
    BeginLeaving();
  } else if (action == "stop") {
    Stop();
  }
}

void Sidecar::BeginLeaving() {
  leaving_since_ = SteadyNow();
  Log(LogLevel::kInfo, kPart, "Leaving.",
      {{"name", settings_.name},
       {"requests", origin_.active()},
       {"calls", gate_.active()},
       {"instance", ToString(tracker_.state())}});
  callers_.BeginDrain();
  WaitForCalls();
}

void Sidecar::WaitForCalls() {
  const bool busy =
      origin_.active() > 0 || gate_.active() > 0 || callers_.stats().busy > 0;
  const LeaveState state =
      LeaveStateAfter(SteadyNow() - leaving_since_, busy, bounds_.grace);
  if (!state.takes_calls && !std::exchange(leaving_, true)) {
    OnInstanceChanged("node leaving");
  }
  if (!state.takes_requests) {
    // From here on callers find the address closed, and go elsewhere with what
    // was not read.
    callers_.CloseIdle();
  }
  if (state.end == LeaveEnd::kExpired) {
    Log(LogLevel::kWarning, kPart, "The drain took too long.",
        {{"requests", origin_.active()}, {"calls", gate_.active()}});
    Fire("drain_expired");
    return;
  }
  if (state.end == LeaveEnd::kFinished) {
    Fire("calls_finished");
    return;
  }
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      WaitForCalls();
    }
  });
}

void Sidecar::Stop() {
  callers_.CloseIdle();
  if (tracker_.state() == InstanceState::kGone) {
    publisher_.Delete();
  }
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this](const asio::error_code&) { io_.stop(); });
}

void Sidecar::Reload(std::string_view why) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(text, ReadConfigFile(settings_path_));
        settings_text_ = text;
        BOOST_LEAF_AUTO(fresh, ParseSidecarSettings(text, settings_path_));
        const bool service_changed = fresh.service != settings_.service;
        settings_.service = fresh.service;
        settings_.log_level = fresh.log_level;
        settings_.bounds = fresh.bounds;
        SetLogLevel(settings_.log_level);
        const auto bounds = platform::ParseBounds(settings_.bounds);
        if (const auto* parsed = std::get_if<platform::Bounds>(&bounds)) {
          bounds_ = *parsed;
          origin_.SetAllowance(AllowanceLimits());
        }
        Log(LogLevel::kInfo, kPart, "The settings were read again.",
            {{"why", why}, {"service", settings_.service}});
        if (service_changed) {
          OnInstanceChanged("settings");
        }
        return {};
      },
      [&](const ConfigError& error) {
        Log(LogLevel::kError, kPart,
            "The settings have faults; the old ones stay in force.",
            {{"why", why}, {"error", ToString(error)}});
      },
      [&] {
        Log(LogLevel::kError, kPart, "The settings cannot be read.",
            {{"why", why}});
      });
}

// The file may change without a signal.
void Sidecar::WatchSettingsFile() {
  file_timer_.expires_after(kSettingsCheckInterval);
  file_timer_.async_wait([this](const asio::error_code& error) {
    if (error) {
      return;
    }
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(text, ReadConfigFile(settings_path_));
          if (settings_text_.empty()) {
            settings_text_ = text;
          } else if (text != settings_text_) {
            Reload("file changed");
          }
          return {};
        },
        [&](const ConfigError& fault) {
          Log(LogLevel::kWarning, kPart, "The settings file cannot be read.",
              {{"error", ToString(fault)}});
        },
        [] {});
    WatchSettingsFile();
  });
}

void Sidecar::OnControl(const ExchangePointer& exchange) {
  const Http1Head& head = exchange->head();
  const auto call =
      platform::ParseControlCall(head.method, head.target, exchange->body());
  if (std::holds_alternative<platform::ReadyCall>(call)) {
    OnReady(exchange);
  } else if (const auto* report = std::get_if<InstanceReport>(&call)) {
    OnHeartbeat(exchange, *report);
  } else if (const auto* leave = std::get_if<platform::DeregisterCall>(&call)) {
    OnDeregister(exchange, leave->id);
  } else if (const auto* error = std::get_if<platform::FormatError>(&call)) {
    Log(LogLevel::kWarning, "control", "A report cannot be read.",
        {{"target", head.target}, {"error", error->reason}});
    exchange->Send(kBadRequest, JsonHeaders(), "{}");
  } else {
    exchange->Send(kNotFound, JsonHeaders(), "{}");
  }
}

void Sidecar::OnReady(const ExchangePointer& exchange) {
  const bool ready = lifecycle_.state() == "serving" && members_.listed();
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
      "control", "The instance reported.",
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
    AcknowledgeLater(exchange);
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
  AcknowledgeLater(exchange);
}

void Sidecar::AcknowledgeLater(const ExchangePointer& exchange) {
  const auto answered = std::make_shared<bool>(false);
  const auto answer = [exchange, answered] {
    if (!std::exchange(*answered, true)) {
      exchange->Send(kOk, JsonHeaders(), "{}");
    }
  };
  const auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(kAcknowledgeWait);
  timer->async_wait([timer, answer](const asio::error_code&) { answer(); });
  PublishSelf(answer);
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
  metrics_.Set(metrics_.Gauge("log_lines_dropped"),
               static_cast<double>(DroppedLogLines()));
  exchange->Send(kOk, {{"Content-Type", "text/plain; version=0.0.4"}},
                 metrics_.RenderPrometheus());
}

void Sidecar::OnInstanceChanged(std::string_view why) {
  ++sequence_;
  gate_.OnInstanceChanged();
  OnRecord(Self());
  links_.Announce();
  const MemberRecord self = Self();
  Log(LogLevel::kInfo, kPart, "The node's record changed.",
      {{"why", why},
       {"sequence", sequence_},
       {"instance", ToString(tracker_.state())},
       {"serving", self.member.serving}});
  PublishSelf(nullptr);
}

MemberRecord Sidecar::Self() const {
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
  const InstanceState state = tracker_.state();
  record.instance_gone = state == InstanceState::kGone;
  record.instance_leaving =
      record.instance_gone || state == InstanceState::kLeaving;
  return record;
}

void Sidecar::PublishSelf(std::function<void()> on_written) {
  const MemberRecord self = Self();
  std::string needed = fmt::format("{} {} {}", self.instance,
                                   self.instance_leaving, self.instance_gone);
  if (self.instance.empty() || needed == published_) {
    if (on_written) {
      on_written();
    }
    return;
  }
  published_ = std::move(needed);
  publisher_.Publish(platform::FormatMember(self), std::move(on_written));
}

void Sidecar::OnConfigurationObject(const StoreObject& object) {
  if (object.name == platform::kConfigurationName) {
    OfferConfiguration(object.spec, "store");
  }
}

void Sidecar::OfferConfiguration(std::string text, std::string_view source) {
  auto parsed = platform::ParseConfiguration(text);
  if (const auto* error = std::get_if<platform::FormatError>(&parsed)) {
    Log(LogLevel::kError, "config", "A configuration cannot be read.",
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
    Log(LogLevel::kError, "config", "A configuration was refused.",
        {{"source", source},
         {"offered", offered},
         {"in_force", before},
         {"reason", applier_.refusal().reason}});
    return;
  }
  const std::size_t bytes = text.size();
  archive_.Add(offered, std::move(text));
  source_.OnApplied(offered);
  callers_.SetLimits(configuration.limits);
  Log(LogLevel::kInfo, "config", "A configuration is in force.",
      {{"generation", offered},
       {"before", before},
       {"source", source},
       {"bytes", bytes},
       {"rules", applier_.table()->document().rules.size()}});
  if (source_.is_reader()) {
    links_.AnnounceConfiguration();
  }
  Fire("config_in_force");
}

void Sidecar::OnConfigurationDelta(const ConfigurationDelta& delta) {
  auto applied = archive_.Apply(delta);
  if (const auto* error = std::get_if<ArchiveError>(&applied)) {
    Log(LogLevel::kWarning, "config", "A peer's delta cannot be used.",
        {{"base", delta.base.generation},
         {"generation", delta.to.generation},
         {"in_force", applier_.generation()},
         {"error", error->reason}});
    return;
  }
  OfferConfiguration(std::move(std::get<std::string>(applied)), "peer");
}

void Sidecar::CheckConfigurationSource(Time now) {
  const bool follows = source_.ShouldWatchStore(now);
  if (follows != std::exchange(follows_store_, follows)) {
    Log(LogLevel::kInfo, "config",
        follows ? "The store is followed." : "Peers are followed.",
        {{"in_force", applier_.generation()}});
    follows ? configuration_.Start() : configuration_.Stop();
  }
  if (const auto peer = source_.SelectPeerToQuery(now)) {
    const HeldConfiguration held = archive_.newest();
    Log(LogLevel::kInfo, "config", "A peer is asked for its configuration.",
        {{"peer", *peer}, {"in_force", held.generation}});
    links_.Send(*peer, {0, LinkConfigurationWanted{held}});
  }
}

PeerConfiguration Sidecar::InForce() const {
  PeerConfiguration in_force{applier_.generation(), std::nullopt};
  if (source_.is_reader() && configuration_.in_contact()) {
    in_force.age = SteadyNow() - configuration_.confirmed().value_or(Time());
  }
  return in_force;
}

void Sidecar::OnMembersListed(const std::vector<StoreObject>& items) {
  std::set<std::string_view> names;
  for (const StoreObject& object : items) {
    names.insert(object.name);
    OnMemberObject(object);
  }
  std::vector<std::pair<std::string, std::uint64_t>> gone;
  for (const auto& [name, entry] : member_registry_.entries()) {
    if (!entry.linked && name != settings_.name && !names.contains(name)) {
      gone.emplace_back(name, entry.record.member.incarnation);
    }
  }
  for (const auto& [name, incarnation] : gone) {
    Log(LogLevel::kInfo, "members", "A member is gone.", {{"name", name}});
    member_registry_.Forget(name, incarnation);
  }
  links_.Sync();
}

void Sidecar::OnMemberObject(const StoreObject& object) {
  if (object.name == settings_.name) {
    publisher_.OnSeen(object.revision);
  }
  const auto parsed = platform::ParseMember(object.spec);
  if (const auto* error = std::get_if<platform::FormatError>(&parsed)) {
    Log(LogLevel::kWarning, "members", "A member's record cannot be read.",
        {{"name", object.name}, {"error", error->reason}});
    return;
  }
  const auto& record = std::get<MemberRecord>(parsed);
  if (object.name != settings_.name) {
    OnRecord(record);
  } else if (record.member.incarnation < incarnation_ &&
             record.instance_leaving) {
    tracker_.OnRemembered(record.instance, record.instance_gone,
                          record.instance_sequence);
  }
}

void Sidecar::OnRecord(const MemberRecord& record) {
  if (!member_registry_.Merge(record, SteadyNow())) {
    return;
  }
  if (record.member.name != settings_.name) {
    Log(LogLevel::kInfo, "members", "A member's record changed.",
        {{"name", record.member.name},
         {"incarnation", record.member.incarnation},
         {"sequence", record.sequence},
         {"service", record.member.service},
         {"state", ToString(record.member.state)},
         {"serving", record.member.serving},
         {"slots", record.member.slots}});
  }
  links_.Sync();
}

Duration Sidecar::ConfigurationAge() const {
  const auto confirmed =
      std::max(configuration_.confirmed(), source_.last_confirmed());
  return confirmed ? SteadyNow() - *confirmed : Duration::max();
}

// How late timers fire tells how long calls wait for the processor here.
void Sidecar::ObserveLag(Duration lag) {
  metrics_.Observe(metrics_.Summary("loop_lag_microseconds"),
                   static_cast<double>(lag.count()));
  if (lag > kLongLag) {
    Log(LogLevel::kWarning, kPart, "The loop was late.",
        {{"lag_ms", ToMilliseconds(lag)},
         {"requests", origin_.active()},
         {"calls", gate_.active()}});
  }
}

void Sidecar::ScheduleFlush() {
  const Time due = SteadyNow() + kFlushInterval;
  flush_timer_.expires_after(kFlushInterval);
  flush_timer_.async_wait([this, due](const asio::error_code& error) {
    if (!error) {
      const Time now = SteadyNow();
      ObserveLag(now - due);
      CheckConfigurationSource(now);
      FlushLog();
      ScheduleFlush();
    }
  });
}

}  // namespace verbenastile
