// The part that calls take in roll-outs: which of them are sent to a version
// that is not proved, and what their outcomes tell about it.
#include "mesh/outbound_proxy.h"

#include <utility>

#include "io/http_status.h"

namespace verbenastile {

void OutboundProxy::ApplyHolds(Time now) {
  if (init_.rollouts == nullptr) {
    return;
  }
  init_.rollouts->Refresh(now);
  const std::pair current{init_.member_registry->directory().revision(),
                          init_.rollouts->holds_revision()};
  if (std::exchange(holds_applied_, current) != current) {
    balancer_.SetHeld(init_.rollouts->book().held());
  }
}

UpstreamHandle OutboundProxy::ExposedUpstream(const Call& call, Time now) {
  if (init_.rollouts == nullptr || !init_.rollouts->book().any()) {
    return {};
  }
  Rollout* rollout = init_.rollouts->book().Find(call.service);
  if (rollout == nullptr || rollout->removed() ||
      rollout->state != RolloutState::kRunning ||
      !call.tried_upstreams.empty() ||
      !rollout->budget.MaySend(call.rule->id, rollout->age(now))) {
    return {};
  }
  const auto usable = [&](std::string_view name) {
    const UpstreamHandle handle = balancer_.HandleOf(name);
    // Instances that are not held are in the balancer's choice.
    return balancer_.IsHeld(handle) &&
           balancer_.HealthOf(handle) != UpstreamHealth::kEjected;
  };
  return balancer_.HandleOf(
      rollout->targets.Pick(rollout->age(now), now, usable));
}

// Nobody waits for an instance whose version is not proved.
bool OutboundProxy::MayQueueAt(const Member& member) const {
  return !balancer_.IsHeld(balancer_.HandleOf(member.name));
}

void OutboundProxy::NoteRolloutSent(const Call& call,
                                    Attempt& attempt,
                                    Time now) {
  if (init_.rollouts == nullptr || !init_.rollouts->book().any()) {
    return;
  }
  Rollout* rollout = init_.rollouts->book().Find(call.service);
  if (rollout == nullptr || rollout->removed() || rollout->settled()) {
    return;
  }
  const Member* member = balancer_.Find(attempt.upstream);
  RolloutPart part;
  part.order = rollout->order.id;
  part.old = member->software != rollout->order.target_version;
  part.exposed = balancer_.IsHeld(attempt.upstream);
  part.outside = !IsExposureOpen(rollout->age(now));
  part.judged = rollout->state == RolloutState::kRunning &&
                (part.old ? rollout->targets.HasWarm(now)
                          : rollout->targets.IsWarm(member->name, now));
  if (part.exposed) {
    rollout->budget.OnSent(call.rule->id);
  }
  rollout->old_in_flight += part.old ? 1 : 0;
  attempt.rollout = part;
}

void OutboundProxy::NoteRolloutLoad(Call& call, const GateLoad& load) const {
  if (call.attempt->rollout) {
    const Member* member = balancer_.Find(call.attempt->upstream);
    call.attempt->rollout->full =
        member != nullptr && load.upstream.busy + 1 >= member->slots;
  }
}

void OutboundProxy::NoteRolloutEnded(const Call& call,
                                     AttemptOutcome outcome,
                                     bool reached,
                                     Time now) {
  const auto& part = call.attempt->rollout;
  Rollout* rollout = part ? init_.rollouts->book().Find(call.service) : nullptr;
  if (rollout == nullptr || rollout->order.id != part->order) {
    return;
  }
  rollout->old_in_flight -= part->old && rollout->old_in_flight > 0 ? 1 : 0;
  const bool answered = outcome == AttemptOutcome::kAnswered ||
                        (outcome == AttemptOutcome::kFailed && reached &&
                         call.status >= kHttpServerError);
  if (part->exposed && !answered) {
    rollout->targets.OnRefused(call.attempt->member, now);
  }
  if (!reached) {
    if (part->exposed) {
      rollout->budget.OnNotReached(call.rule->id);
    }
    return;
  }
  if (answered) {
    rollout->budget.OnAnswered(call.rule->id);
  }
  if (!part->judged || !(answered || part->failed)) {
    return;
  }
  const OutcomeKey key{call.rule->id,
                       part->old ? std::string() : call.attempt->member,
                       part->full, part->outside};
  if (part->failed || outcome == AttemptOutcome::kFailed) {
    rollout->outcomes.AddFailure(key);
  } else {
    rollout->outcomes.AddAnswer(
        key, call.head_received - call.attempt->begin - call.slot_wait);
  }
}

}  // namespace verbenastile
