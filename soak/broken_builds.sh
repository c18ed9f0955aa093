#!/usr/bin/env bash
# Shows that the fault soak notices what it promises to check: for each promise
# builds the program with a deliberate fault, in a copy of the sources, and runs
# seeds until one breaks the promise. Fails when a fault goes unnoticed.
# Usage: soak/broken_builds.sh [FIRST_SEED [FAULT]], one fault or all
set -euo pipefail
cd "$(dirname "$0")/.."
first=${1:-1}
only=${2:-}
copy=build/broken
mkdir -p "$copy"
git ls-files | grep -v '^journal/' | tar -cf - -T - | tar -xf - -C "$copy"

# fault @ file @ sed expression @ what the soak has to say
faults='
unsafe repeated@src/mesh/outbound_response.cc@s/!call.route->repeatable || !TakeRetry/!TakeRetry/@ran 2 times
refused after a run@src/mesh/outbound_proxy.cc@s/kUnavailable \&\& call.may_have_run/false/@and has run
cut answers passed on@src/mesh/inbound_response.cc@s/if (end == Http1CallResult::kComplete || call.not_executed) {/if (end == Http1CallResult::kComplete || !call.unsent_body.empty()) {/@or not whole
changes not taken up@src/mesh/sidecar_configuration.cc@s/  const Generation offered = configuration.generation;/  if (applier_.generation() > 0) { return; }\n&/@got 404
readers not replaced@src/core/configuration_source.cc@s/      substitute_since_ = now;/      (void)now;/@which is in force in time
another service@src/mesh/outbound_proxy.cc@s/query.service = call.service;/query.service = "library";/@wrong service
work for leaving instances@src/core/member_registry.cc@s/!member.serving \&\&/false \&\&/@after it left
stop not heard@src/mesh/sidecar.cc@s/    FireEvent("leave_requested");/    return;/@did not stop
records not rewritten@src/mesh/sidecar_configuration.cc@s/  publisher_.OnStoreRestored(era);//@after a restore of the store
rate limit not kept@src/mesh/inbound_response.cc@s/admission_.SetRateLimit(rate, now);//@named a limit of
leaving in responses not heard@src/mesh/inbound_response.cc@s/  if (notice.leaving \&\&/  if (false \&\&/@after it said it leaves
instances ended again@src/core/crash_suspects.cc@s/if (evidence.convicted \&\& crashes >= kCrashesToBlock)/if (false)/@after three
bystanders blocked@src/core/crash_suspects.cc@s/if (evidence.convicted \&\& crashes >= kCrashesToBlock)/if (crashes > 0)/@which ran beside
full rate at each node@src/core/quota_peers.cc@s/^  reach_ = known == 0/  candidates = {self_};\n&/@whose quota
exposure ignored@src/core/rollout_exposure.cc@s/return used < allowed \&\&/return true ||/@is not proved
evidence dropped@src/core/rollout_evidence.cc@s/if (message.responses <= before.responses)/if (message.responses > 0)/@was returned from
cancels not heard@src/mesh/link_hub.cc@s/\[&\](const LinkCancel\&) { OnIncomingCancel(peer, id); },/[](const LinkCancel\&) {},/@after their caller left
never ready@src/mesh/sidecar_control.cc@s/const bool ready =$/& false \&\&/@are ready
'
# Faults that one guard alone would hide have the second one taken away too.
second_guard() {
  case $1 in
    "another service")
      sed -i 's/entry.request.service != init_.tracker->report()->service/false/' \
        "$copy/src/mesh/inbound_proxy.cc" ;;
    "readers not replaced")
      sed -i 's/return belief.behind.has_value() ||/return false \&\&/' \
        "$copy/src/core/configuration_belief.h" ;;
    "work for leaving instances")
      sed -i 's/if (!init_.tracker->serves()) {/if (!init_.tracker->report()) {/
              s/return tracker.serves() ||/return tracker.report() ||/' \
        "$copy/src/mesh/inbound_proxy.cc" ;;
    "cut answers passed on")
      sed -i 's/if (call.content_length \&\& \*call.content_length != call.response_bytes)/if (false)/' \
        "$copy/src/mesh/outbound_response.cc" ;;
    "refused after a run")
      sed -i 's/Fail(id, kBadGateway, broken.detail)/Fail(id, kUnavailable, broken.detail)/' \
        "$copy/src/mesh/outbound_response.cc" ;;
  esac
}

unnoticed=0
while IFS='@' read -r fault file expression says; do
  [ -n "$fault" ] || continue
  [ -z "$only" ] || [ "$only" = "$fault" ] || continue
  cp src/mesh/*.cc "$copy/src/mesh/"
  cp src/core/*.cc src/core/*.h "$copy/src/core/"
  sed -i "$expression" "$copy/$file"
  if cmp -s "$file" "$copy/$file"; then
    echo "broken builds: the fault '$fault' does not fit $file any more" >&2
    exit 1
  fi
  second_guard "$fault"
  cmake -S "$copy" -B "$copy/build" -G Ninja >/dev/null
  if ! cmake --build "$copy/build" --target verbenastile >"$copy/log"; then
    echo "broken builds: the fault '$fault' does not build:" >&2
    grep -m 5 "error" "$copy/log" >&2
    exit 1
  fi
  noticed=no
  for seed in $(seq "$first" $((first + 5))); do
    said=$(python3 soak/faults.py --seed "$seed" --seconds 8 \
      --port-offset $((seed % 500 * 20)) \
      --binary "$copy/build/verbenastile" 2>&1 || true)
    if grep -q "$says" <<<"$said"; then
      noticed="seed $seed"
      break
    fi
  done
  echo "broken builds: $fault: $noticed"
  [ "$noticed" != no ] || unnoticed=1
done <<<"$faults"
exit "$unnoticed"
