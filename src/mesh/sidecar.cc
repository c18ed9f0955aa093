#include "mesh/sidecar.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <utility>

#include "base/build_id.h"
#include "base/log.h"
#include "config/yaml_reader.h"
#include "core/shutdown_schedule.h"
#include "io/event_loop.h"
#include "platform/member_object.h"
#include "platform/wire_names.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "sidecar";

// Queued calls may still start during 1/3 of the time in which a leaving
// instance may get new work. The rest is a margin: that time starts at the
// acknowledgement, and calls take time to reach the instance.
constexpr int kDrainDivisor = 3;
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);
// A change of the settings file that leaves its size and time of change is
// noticed within this time.
constexpr Duration kSettingsReadInterval = std::chrono::seconds(2);
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
// Where keys may be accepted only for a limited time without a confirmation of
// the store, the store confirms the configuration this often in that time.
constexpr int kWatchesPerRevokePeriod = 2;
constexpr double kPermille = 1'000;
constexpr std::size_t kMaxControlBodyBytes = 65'536;

// The names of the settings that differ and that a running process cannot take
// over.
std::string ChangedFixedSettings(const SidecarSettings& used,
                                 const SidecarSettings& changed) {
  std::string names;
  const auto compare = [&](std::string_view name, const auto& a,
                           const auto& b) {
    if (a != b) {
      names += (names.empty() ? "" : ",");
      names += name;
    }
  };
  compare("node.name", used.name, changed.name);
  compare("node.failure_domain", used.failure_domain, changed.failure_domain);
  compare("node.region", used.region, changed.region);
  compare("listen", used.listen, changed.listen);
  compare("upstream.address", used.upstream, changed.upstream);
  compare("platform.address", used.platform, changed.platform);
  compare("link_mbps", used.link_bytes_per_second,
          changed.link_bytes_per_second);
  return names;
}

Duration MembersPollInterval(std::size_t members) {
  const Duration scaled = kMinMembersPoll * static_cast<std::int64_t>(members) /
                          static_cast<std::int64_t>(kMembersAtMinPoll);
  return std::clamp(scaled, kMinMembersPoll, kMaxMembersPoll);
}

}  // namespace

Sidecar::Sidecar(const SidecarSettings& settings,
                 const platform::Bounds& bounds,
                 NodeCharts charts,
                 std::string path)
    : settings_(settings),
      bounds_(bounds),
      charts_(std::move(charts)),
      settings_file_(std::move(path), settings.text),
      settings_read_at_(SteadyNow()),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      drain_timer_(io_),
      periodic_timer_(io_),
      incarnation_(UnixMilliseconds()),
      applier_(&charts_.config_apply, NondeterministicSeed()),
      lifecycle_(&charts_.lifecycle),
      tracker_(settings_.upstream, settings_.service),
      member_registry_(settings_.name),
      join_requests_(settings_.name),
      store_(io_, settings_.platform),
      configuration_source_({settings_.link_bytes_per_second, SteadyNow(),
                             NondeterministicSeed(), settings_.name,
                             bounds_.configuration}),
      sender_(io_, PacerInit()),
      inbound_(InboundProxyInit()),
      links_(HubInit()),
      quotas_(QuotasInit()),
      rollouts_(MakeRollouts()),
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
  init.group_weight = [this](std::string_view group) {
    const auto table = applier_.table();
    return table ? table->SlotWeight(group) : 1;
  };
  init.usual_time = [this](std::string_view rule) {
    return outbound_.UsualTime(rule);
  };
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
  init.on_link_down = [this](std::string_view member,
                             const std::vector<CallId>& unsent) {
    configuration_source_.OnPeerGone(member);
    quotas_.OnMemberLost(member, false);
    outbound_.OnLinkDown(member, unsent);
  };
  init.on_link_silent = [this](std::string_view member) {
    configuration_source_.OnPeerGone(member);
    quotas_.OnMemberLost(member, true);
    outbound_.OnLinkSilent(member);
  };
  init.on_load = [this](std::string_view member, const GateLoad& load) {
    outbound_.OnLoad(member, load);
    // The frame may have waited here while this process was not running.
    configuration_source_.OnPeerConfiguration(member, load.configuration,
                                              SteadyNow() - ReadDelay());
    if (store_.OnPeerEra(load.configuration.store_era)) {
      OnStoreRestored(load.configuration.store_era, store_.era(), member);
    }
  };
  init.on_member_record = [this](const MemberRecord& record) {
    MergeRecord(record);
  };
  init.instance_notice = [this](std::string_view member) {
    const MemberRegistry::Entry* entry = member_registry_.Find(member);
    return outbound_.PeerNotice(
        member, entry == nullptr ? std::string_view() : entry->record.instance);
  };
  init.on_instance_notice = [this](std::string_view member,
                                   const InstanceNotice& notice) {
    OnInstanceNotice(member, notice);
  };
  init.on_member_known = [this](std::string_view member,
                                std::uint64_t sequence) {
    OnMemberKnown(member, sequence);
  };
  init.members = [this](std::string_view member) { return Members(member); };
  init.on_members = [this](std::string_view member,
                           const LinkMembers& message) {
    OnMembers(member, message);
  };
  init.crash_evidence = [this] { return suspects_.Shared(); };
  init.on_crash_evidence = [this](std::string_view member,
                                  std::span<const CrashEvidence> evidence) {
    MergeCrashEvidence(member, evidence);
  };
  init.on_configuration = [this](const ConfigurationDelta& delta) {
    OnConfigurationDelta(delta);
  };
  if (bounds_.canary_share) {
    init.on_rollouts = [this](std::string_view member,
                              const LinkRollouts& message) {
      rollouts_->OnReports(member, message);
    };
    init.rollouts = [this] { return rollouts_->Shared(SteadyNow()); };
  }
  init.on_quota_needs = [this](std::string_view member,
                               const std::vector<QuotaNeed>& needs) {
    return quotas_.OnNeeds(member, needs);
  };
  init.on_quota_loans = [this](std::string_view member,
                               const std::vector<QuotaLoan>& loans) {
    quotas_.OnLoans(member, loans);
  };
  init.on_quota_part_request = [this](std::string_view member,
                                      const QuotaPartRequest& request) {
    return quotas_.OnPartRequest(member, request);
  };
  init.on_quota_part_grant = [this](std::string_view member,
                                    const QuotaPartGrant& grant) {
    quotas_.OnPartGrant(member, grant);
  };
  init.on_quota_part_changed = [this](std::string_view member) {
    quotas_.OnPartChanged(member);
  };
  return init;
}

std::unique_ptr<RolloutService> Sidecar::MakeRollouts() {
  if (!bounds_.canary_share) {
    return nullptr;
  }
  RolloutService::Init init;
  init.io = &io_;
  init.store = &store_;
  init.session_chart = &charts_.platform_session;
  init.links = &links_;
  init.member_registry = &member_registry_;
  init.metrics = &metrics_;
  init.node_name = settings_.name;
  init.incarnation = incarnation_;
  init.share = *bounds_.canary_share;
  init.seed = NondeterministicSeed();
  init.readers = [this]() -> const std::map<std::string, Time, std::less<>>& {
    return configuration_source_.readers();
  };
  return std::make_unique<RolloutService>(std::move(init));
}

QuotaService::Init Sidecar::QuotasInit() {
  QuotaService::Init init;
  init.node_name = settings_.name;
  init.limits = RequestQuotaLimits();
  init.member_registry = &member_registry_;
  init.send = [this](std::string_view member, const LinkFrame& frame) {
    return links_.Send(member, frame);
  };
  init.incoming_members = [this] { return links_.incoming_members(); };
  init.on_unanswered = [this](std::string_view member) {
    links_.SuspectSilence(member);
  };
  init.metrics = &metrics_;
  init.standing = [this] { return Standing(); };
  init.confirmed_by = [this] { return ConfirmedBy(); };
  init.join_requests = [this] { return join_requests_.members(); };
  init.on_ownership = [this] { AnnounceRecord("parts of quotas"); };
  return init;
}

QuotaLimits Sidecar::RequestQuotaLimits() const {
  return {bounds_.quota_window,
          static_cast<double>(bounds_.quota_over_permille) / kPermille,
          static_cast<double>(bounds_.quota_slack)};
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
  init.quotas = &quotas_;
  init.suspects = &suspects_;
  init.on_crash_evidence = [this](std::vector<CrashEvidence> evidence) {
    OnCrashEvidence(std::move(evidence));
  };
  init.metrics = &metrics_;
  init.headers = platform::kCallHeaders;
  init.allowance = AllowanceLimits();
  init.seed = NondeterministicSeed();
  init.domain_price = settings_.domain_price;
  init.copies.enabled = settings_.copies;
  init.caller_service = [this] { return tracker_.service(); };
  init.configuration_belief = [this] { return Belief(); };
  init.rollouts = rollouts_.get();
  init.key_limits = [this] {
    KeyLimits limits;
    limits.fail_closed = bounds_.refuse_unconfirmed_keys;
    limits.revoke_period = bounds_.revoke_period;
    limits.apply_period = bounds_.configuration.apply_period;
    return limits;
  };
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
  init.watch_delay = [this] { return bounds_.configuration.WatchPause(); };
  init.read_delay = [this] { return ReadDelay(); };
  init.watch_limit = [this] {
    return bounds_.refuse_unconfirmed_keys
               ? bounds_.revoke_period / kWatchesPerRevokePeriod
               : Duration::max();
  };
  init.follower_count = [this] {
    return configuration_source_.ReaderCount() + 1;
  };
  init.on_listed = [this](const std::vector<StoreObject>& items) {
    const Generation before = applier_.generation();
    for (const StoreObject& object : items) {
      OnConfigurationObject(object);
    }
    if (applier_.generation() == before) {
      // Nodes that would take this one's place hear that it is not needed.
      links_.AnnounceConfiguration();
    }
  };
  init.on_event = [this](const StoreEvent& event) {
    if (!event.deleted) {
      OnConfigurationObject(event.object);
    }
  };
  init.on_unchanged = [this] { links_.AnnounceConfiguration(); };
  init.on_failed = [this] { links_.AnnounceConfiguration(); };
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
       {"build", BuildId()},
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
    if (!CheckSettings("signal", WatchedFile::When::kAlways)) {
      Log(LogLevel::kInfo, kLogComponent, "The settings have not changed.",
          {{"service", settings_.service}});
    }
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
    outbound_.StopAccepting();
  }
  if (state.outcome == ShutdownOutcome::kTimedOut) {
    Log(LogLevel::kWarning, kLogComponent, "The drain timed out.",
        {{"requests", outbound_.active()}, {"calls", inbound_.active()}});
    outbound_.FailAll("the node is stopping");
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

// The file may change without a signal, and at any time after the start.
bool Sidecar::CheckSettings(std::string_view why, WatchedFile::When when) {
  if (when == WatchedFile::When::kAlways) {
    settings_read_at_ = SteadyNow();
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(text, settings_file_.Check(when));
        if (text) {
          ApplySettings(*text, why);
        }
        return text.has_value();
      },
      [&](const ConfigError& error) {
        Log(LogLevel::kWarning, kLogComponent,
            "Cannot read the settings file; keeping the settings.",
            {{"why", why}, {"error", ToString(error)}});
        return false;
      },
      [&] {
        Log(LogLevel::kError, kLogComponent, "Cannot read the settings.",
            {{"why", why}});
        return false;
      });
}

void Sidecar::ApplySettings(const std::string& text, std::string_view why) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(changed,
                        ParseSidecarSettings(text, settings_file_.path()));
        const std::string fixed = ChangedFixedSettings(settings_, changed);
        if (!fixed.empty()) {
          Log(LogLevel::kWarning, kLogComponent,
              "Some changed settings take effect after a restart only.",
              {{"why", why}, {"settings", fixed}});
        }
        settings_.service = changed.service;
        settings_.log_level = changed.log_level;
        settings_.bounds = changed.bounds;
        const auto requests_before =
            std::exchange(settings_.requests, changed.requests);
        SetLogLevel(settings_.log_level);
        const auto bounds = platform::ParseBounds(settings_.bounds);
        if (const auto* parsed = std::get_if<platform::Bounds>(&bounds)) {
          bounds_ = *parsed;
          outbound_.SetRetryAllowance(AllowanceLimits());
          quotas_.SetLimits(RequestQuotaLimits());
          configuration_source_.SetLimits(bounds_.configuration);
        } else {
          Log(LogLevel::kError, kLogComponent,
              "The new bounds are invalid; keeping the old ones.",
              {{"why", why},
               {"error", std::get<platform::FormatError>(bounds).reason}});
        }
        Log(LogLevel::kInfo, kLogComponent, "Reloaded the settings.",
            {{"why", why}, {"service", settings_.service}});
        ApplyRequestOverrides(requests_before);
        if (tracker_.SetSettingsService(settings_.service, SteadyNow())) {
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
        Log(LogLevel::kError, kLogComponent, "Cannot parse the settings.",
            {{"why", why}});
      });
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

// What had arrived before the tick before the last one has been handled since,
// so that what is read now came later. Zero while the ticks come in time.
Duration Sidecar::ReadDelay() const {
  const Duration since = SteadyNow() - last_ticks_.back();
  return std::max(since - 2 * (kPeriodicInterval + kMaxLoopLag),
                  Duration::zero());
}

void Sidecar::SchedulePeriodicWork() {
  const Time due = SteadyNow() + kPeriodicInterval;
  periodic_timer_.expires_after(kPeriodicInterval);
  periodic_timer_.async_wait([this, due](const asio::error_code& error) {
    if (!error) {
      SchedulePeriodicWork();
      const Time now = SteadyNow();
      RecordLoopLag(now - due);
      last_ticks_ = {now, last_ticks_.front()};
      CheckSettings("file changed",
                    now - settings_read_at_ >= kSettingsReadInterval
                        ? WatchedFile::When::kAlways
                        : WatchedFile::When::kIfTouched);
      UpdateConfigurationSource(now);
      if (rollouts_) {
        rollouts_->Tick(now);
      }
      RequestMembers(now);
      quotas_.Tick(now);
      FlushLog();
    }
  });
}

}  // namespace verbenastile
