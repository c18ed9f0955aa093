#include "mesh/gate.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "base/log.h"

namespace verbenastile {
namespace {

constexpr std::string_view kPart = "gate";

constexpr int kMisdirected = 421;
constexpr int kFirstFailure = 300;
constexpr int kFirstSuccess = 200;

// An answer up to this size leaves in one frame.
constexpr std::size_t kWholeAnswerBytes = 65'536;
// Bytes of an answer's body that the caller has not taken; beyond, the
// instance is read no further.
constexpr std::size_t kWindowBytes = 1'048'576;
// A link on which large answers wait for less than this part of their objective
// counts as free.
constexpr int kFreeLinkDivisor = 4;
// A large answer is taken on when it is expected to have left within this part
// of its objective; the rest is for answers above the average before it, and
// for the link of its receiver.
constexpr int kLinkPermille = 650;
constexpr int kPermille = 1'000;
// How often queues and deadlines are looked at while there are calls.
constexpr Duration kTickInterval = std::chrono::milliseconds(20);
// How long the slot of a cancelled call is kept: the instance notices a closed
// connection within a few of its own turns.
constexpr Duration kCancelledSlotTime = std::chrono::milliseconds(20);
// What an answer needs from the instance back to the caller.
constexpr Duration kReturnTime = std::chrono::milliseconds(10);
// After its deadline a call is given up here too, should the caller's node
// not cancel it.
constexpr Duration kOverdueTime = std::chrono::milliseconds(200);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
// Kept connections are used only this long after their last answer: instances
// close idle ones, some without notice.
constexpr Duration kMaxIdle = std::chrono::seconds(7);
// What may not be repeated goes on connections that were used just now.
constexpr Duration kMaxIdleUnsafe = std::chrono::seconds(3);
constexpr std::uint32_t kFirstSlots = 1;

}  // namespace

Gate::Gate(const Init& init)
    : init_(init),
      timer_(*init.io),
      http_(*init.io, {}),
      admission_(kFirstSlots),
      started_(init.metrics->Counter("gate_started_total")),
      refused_(init.metrics->Counter("gate_refused_total")),
      shed_(init.metrics->Counter("gate_shed_by_instance_total")),
      broken_(init.metrics->Counter("gate_broken_total")),
      wait_(init.metrics->Summary("gate_wait_microseconds")),
      service_time_(init.metrics->Summary("gate_service_microseconds")) {}

Gate::~Gate() {
  timer_.cancel();
}

bool Gate::TakesWork(Time now) const {
  const InstanceTracker& tracker = *init_.tracker;
  const bool still_starts = tracker.state() == InstanceState::kLeaving &&
                            now - tracker.since() < init_.leaving_start_time();
  return tracker.serves() || still_starts;
}

RefusalReason Gate::WhyNoWork() const {
  const InstanceState state = init_.tracker->state();
  const bool leaves =
      state == InstanceState::kLeaving || state == InstanceState::kGone;
  return leaves ? RefusalReason::kLeaving : RefusalReason::kNoInstance;
}

CallId Gate::Start(GateCall call, AnswerPath path, Reply reply) {
  const CallId id = ++last_id_;
  const Time now = SteadyNow();
  Call& held = calls_[id];
  held.call = std::move(call);
  held.path = path;
  held.reply = std::move(reply);
  held.arrived = now;
  held.deadline = now + held.call.remaining;
  if (!init_.tracker->serves()) {
    Refuse(id, WhyNoWork(), Duration::zero());
  } else if (held.call.service != init_.tracker->report()->service) {
    Refuse(id, RefusalReason::kOtherService, Duration::zero());
  } else if (held.call.only_if_free && !admission_.HasFreeSlot()) {
    Refuse(id, RefusalReason::kBusy, Duration::zero());
  } else if (IsTooSlow(held, now)) {
    Refuse(id, RefusalReason::kSlow, Duration::zero());
  } else if (const Duration late = LateByLink(held); late > Duration::zero()) {
    Refuse(id, RefusalReason::kBusy, late);
  } else {
    Offer(id, held, now);
  }
  if (!ticking_) {
    ScheduleTick();
  }
  return id;
}

// Whether the instance takes longer for such calls than they can wait: their
// objective while other instances may be asked, else the time they have left.
// Those whose objective has passed are late at any instance.
bool Gate::IsTooSlow(const Call& call, Time now) const {
  const bool may_go_on =
      call.call.only_if_free && call.call.objective > Duration::zero();
  const Duration limit = may_go_on ? call.call.objective : call.call.remaining;
  const auto expected = admission_.ExpectedService(call.call.rule, now);
  return expected && *expected > limit;
}

// By how much a large answer would be late, or no link free for it, since
// others wait for the machine's link.
Duration Gate::LateByLink(const Call& call) const {
  const RuleProfile profile = profiles_.Find(call.call.rule);
  if (call.path == AnswerPath::kLocal ||
      profile.answer_bytes <= kLargeAnswerBytes) {
    return Duration::zero();
  }
  const Duration objective = call.call.objective;
  const LinkState link = init_.link();
  const Duration late =
      forecast_.LateBy(profile, link, objective * kLinkPermille / kPermille);
  const Duration not_free = forecast_.Wait(link) - objective / kFreeLinkDivisor;
  return call.call.only_if_free ? std::max(late, not_free) : late;
}

void Gate::Offer(CallId id, Call& call, Time now) {
  AdmissionOffer offer;
  offer.id = id;
  offer.priority = call.call.priority;
  offer.deadline = call.deadline;
  offer.due = now + call.call.objective;
  offer.kind = call.call.rule;
  const AdmissionResult result = admission_.Offer(offer, now);
  if (result.verdict != AdmissionVerdict::kRefused &&
      call.path == AnswerPath::kLink) {
    forecast_.OnTaken(id, profiles_.Find(call.call.rule));
  }
  Run(result.actions);
  if (result.verdict == AdmissionVerdict::kAdmitted) {
    Send(id);
  } else if (result.verdict == AdmissionVerdict::kRefused) {
    Refuse(id, RefusalReason::kBusy, result.come_back);
  }
}

void Gate::Send(CallId id) {
  Call& call = calls_.at(id);
  const Time now = SteadyNow();
  if (!TakesWork(now)) {
    Run(admission_.OnEnded(id, now));
    Refuse(id, WhyNoWork(), Duration::zero());
    return;
  }
  const InstanceReport& report = *init_.tracker->report();
  call.started = now;
  call.instance = report.id;
  init_.metrics->Add(started_);
  init_.metrics->Observe(wait_,
                         static_cast<double>((now - call.arrived).count()));
  Http1Call http;
  http.address = report.address;
  http.method = call.call.method;
  http.target = call.call.target;
  http.headers = HeadersFor(call, now);
  http.body = call.call.body;
  http.connect_timeout = std::min(kConnectTimeout, call.deadline - now);
  http.max_idle = call.call.idempotent ? kMaxIdle : kMaxIdleUnsafe;
  http.echo = {init_.headers.request_id, call.call.request_id};
  http.on_head = [this, id](const Http1Head& head) { OnHead(id, head); };
  http.on_data = [this, id](std::string part) { OnData(id, std::move(part)); };
  http.on_end = [this, id](Http1End end, std::string_view detail) {
    OnEnd(id, end, detail);
  };
  call.http = http_.Start(std::move(http));
}

HttpHeaders Gate::HeadersFor(const Call& call, Time now) const {
  const Duration left =
      std::max(call.deadline - now - kReturnTime, Duration(0));
  HttpHeaders headers = call.call.headers;
  headers.push_back({std::string(init_.headers.deadline_ms),
                     std::to_string(ToMilliseconds(left))});
  headers.push_back(
      {std::string(init_.headers.expected_instance), call.instance});
  headers.push_back(
      {std::string(init_.headers.caller_service), call.call.caller_service});
  return headers;
}

void Gate::OnHead(CallId id, const Http1Head& head) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  call.head = head;
  call.not_executed =
      head.status == kMisdirected ||
      !FindHeader(head.headers, init_.headers.not_executed).empty();
}

void Gate::OnData(CallId id, std::string part) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  if (call.abandoned || call.not_executed) {
    return;
  }
  call.body += part;
  const bool success =
      call.head.status >= kFirstSuccess && call.head.status < kFirstFailure;
  const bool signed_answer =
      !FindHeader(call.head.headers, init_.headers.signature).empty();
  // A success without a signature is none of the instance's answers.
  if ((call.head_told || call.body.size() > kWholeAnswerBytes) &&
      (signed_answer || !success)) {
    TellPart(id, call, false);
  }
}

// Tells what has come of the answer since the last time.
void Gate::TellPart(CallId id, Call& call, bool last) {
  std::string body = std::exchange(call.body, {});
  call.unread += body.size();
  call.told += body.size();
  if (call.unread > kWindowBytes && !call.paused && !last) {
    call.paused = true;
    http_.Pause(call.http);
  }
  if (call.head_told) {
    Tell(call.reply, GateResponseChunk{std::move(body), last});
    return;
  }
  call.head_told = true;
  GateResponse answer;
  answer.status = call.head.status;
  for (const HttpHeader& header : call.head.headers) {
    if (!IsHopByHop(header.name)) {
      answer.headers.push_back(header);
    }
  }
  answer.length = last ? body.size() : call.head.length;
  answer.body = std::move(body);
  answer.last = last;
  answer.load = load();
  answer.queue_time = call.started - call.arrived;
  LogEnd(id, call, last ? "answered" : "answer_begun");
  Tell(call.reply, std::move(answer));
}

void Gate::OnEnd(CallId id, Http1End end, std::string_view detail) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  const Time now = SteadyNow();
  call.http = 0;
  init_.metrics->Observe(service_time_,
                         static_cast<double>((now - call.started).count()));
  const AdmissionActions actions = admission_.OnEnded(id, now);
  if (end == Http1End::kWhole) {
    OnWhole(id, call);
  } else if (end == Http1End::kNotSent) {
    if (init_.tracker->OnConnectFailed(now)) {
      Log(LogLevel::kWarning, kPart, "The instance cannot be reached.",
          {{"instance", call.instance}, {"error", detail}});
      init_.on_unreachable();
    }
    Refuse(id, RefusalReason::kNoInstance, Duration::zero());
  } else {
    Break(id, detail);
  }
  Run(actions);
}

void Gate::OnWhole(CallId id, Call& call) {
  if (call.not_executed) {
    if (call.head.status == kMisdirected &&
        init_.tracker->OnMismatch(call.instance, SteadyNow())) {
      Log(LogLevel::kWarning, kPart, "Another instance has the address.",
          {{"expected", call.instance}});
      init_.on_unreachable();
    }
    init_.metrics->Add(shed_);
    Refuse(id,
           call.head.status == kMisdirected ? RefusalReason::kNoInstance
                                            : RefusalReason::kShed,
           Duration::zero());
    return;
  }
  const bool success =
      call.head.status >= kFirstSuccess && call.head.status < kFirstFailure;
  if (success &&
      FindHeader(call.head.headers, init_.headers.signature).empty()) {
    Break(id, "a success without a signature");
    return;
  }
  if (!call.abandoned) {
    TellPart(id, call, true);
  }
  const Duration ran = SteadyNow() - call.started;
  profiles_.Learn(call.call.rule, ran, call.told);
  Forget(id);
}

void Gate::Refuse(CallId id, RefusalReason reason, Duration come_back) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  init_.metrics->Add(refused_);
  LogEnd(id, found->second, ToString(reason));
  Tell(found->second.reply, GateRefusal{reason, come_back, load()});
  Forget(id);
}

void Gate::Break(CallId id, std::string_view detail) {
  const auto found = calls_.find(id);
  init_.metrics->Add(broken_);
  LogEnd(id, found->second, detail);
  if (!found->second.abandoned) {
    Tell(found->second.reply, GateFailure{std::string(detail), load()});
  }
  Forget(id);
}

void Gate::Forget(CallId id) {
  forecast_.OnAnswered(id);
  calls_.erase(id);
}

// Replies later, so that a caller never sees one from within its own call.
void Gate::Tell(const Reply& reply, LinkBody body) {
  asio::post(*init_.io, [reply, body = std::move(body)]() mutable {
    reply(std::move(body));
  });
}

void Gate::Cancel(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  const Time now = SteadyNow();
  if (admission_.OnCancelled(id, now) != CancelVerdict::kRunning) {
    LogEnd(id, call, "cancelled_before_start");
    Forget(id);
    return;
  }
  if (!call.call.idempotent) {
    call.abandoned = true;
    if (std::exchange(call.paused, false)) {
      http_.Resume(call.http);
    }
    return;
  }
  LogEnd(id, call, "cancelled");
  http_.Cancel(call.http);
  Forget(id);
  held_slots_.push_back({now + kCancelledSlotTime, id});
}

void Gate::Credit(CallId id, std::uint32_t bytes) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  Call& call = found->second;
  call.unread -= std::min<std::size_t>(bytes, call.unread);
  if (call.paused && call.unread <= kWindowBytes / 2) {
    call.paused = false;
    http_.Resume(call.http);
  }
}

void Gate::OnInstanceChanged() {
  const auto& report = init_.tracker->report();
  if (report) {
    http_.CloseIdle(report->address);
    Run(admission_.SetSlots(std::max<std::uint32_t>(report->slots, 1),
                            SteadyNow()));
  }
}

GateLoad Gate::load() const {
  return {{admission_.busy(), static_cast<std::uint32_t>(admission_.queued()),
           forecast_.Wait(init_.link())},
          init_.configuration()};
}

void Gate::Run(const AdmissionActions& actions) {
  for (const AdmissionAction& action : actions) {
    if (const auto* start = std::get_if<StartCall>(&action)) {
      Send(start->id);
    } else {
      Refuse(std::get<RefuseCall>(action).id, RefusalReason::kBusy,
             Duration::zero());
    }
  }
}

// Calls that nobody cancelled though their deadline has passed.
void Gate::EndOverdue(Time now) {
  std::vector<CallId> overdue;
  for (const auto& [id, call] : calls_) {
    if (call.http != 0 && call.call.idempotent &&
        call.deadline + kOverdueTime <= now) {
      overdue.push_back(id);
    }
  }
  for (const CallId id : overdue) {
    const Call& call = calls_.at(id);
    Tell(call.reply, GateFailure{"the deadline has passed", load()});
    Cancel(id);
  }
}

void Gate::Tick() {
  const Time now = SteadyNow();
  EndOverdue(now);
  for (const HeldSlot& slot : std::exchange(held_slots_, {})) {
    if (slot.until <= now) {
      Run(admission_.OnEnded(slot.id, now));
    } else {
      held_slots_.push_back(slot);
    }
  }
  Run(admission_.Tick(now));
}

void Gate::ScheduleTick() {
  ticking_ = !calls_.empty() || !held_slots_.empty();
  if (!ticking_) {
    return;
  }
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Tick();
      ScheduleTick();
    }
  });
}

void Gate::LogEnd(CallId id, const Call& call, std::string_view outcome) const {
  const Time now = SteadyNow();
  const bool ran = call.started != Time();
  const Duration waited = (ran ? call.started : now) - call.arrived;
  Log(LogLevel::kInfo, kPart, "Call.",
      {{"request", call.call.request_id},
       {"call", id},
       {"rule", call.call.rule},
       {"priority", kPriorityNames[static_cast<int>(call.call.priority)]},
       {"outcome", outcome},
       {"status", call.head.status},
       {"instance", call.instance},
       {"state", ToString(init_.tracker->state())},
       {"state_age_ms", ToMilliseconds(now - init_.tracker->heard())},
       {"busy", admission_.busy()},
       {"slots", admission_.slots()},
       {"queued", admission_.queued()},
       {"waited_ms", ToMilliseconds(waited)},
       {"ran_ms", ran ? ToMilliseconds(now - call.started) : 0},
       {"objective_ms", ToMilliseconds(call.call.objective)},
       {"left_ms", ToMilliseconds(call.deadline - now)}});
}

}  // namespace verbenastile
