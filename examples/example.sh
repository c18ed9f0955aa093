# Sourced by each example's run.sh: a fleet of its own and a clean end.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
[ -x build/verbenastile ] || ./scripts/build.sh >/dev/null
work=$(mktemp -d)
platform=${platform:-127.0.50.200:7000}
net=${net:-127.0.50}
source scripts/fleet.sh
trap 'stop_fleet; rm -rf "$work"' EXIT
export VERBENASTILE_PLATFORM=http://$platform
tool=$bin/verbenastile

fail() { echo "example: $*" >&2; tail -n 3 "$work"/*.log >&2; exit 1; }

say() { echo "== $*"; }

# start_instances SERVICE...: one instance for each, in two failure domains.
start_instances() {
  local n=0 service
  start_store
  for service in "$@"; do
    n=$((n + 1))
    start_upstream "$n"
    start_node "$n" "$service" "domain-$((n % 2))"
  done
}

apply() {  # apply FILE: waits until the store takes it
  wait_until 10 "$tool" rules apply "$1" --who example || fail "$1 was refused"
}

# in_force GENERATION NODE...: waits until those nodes run it.
in_force() {
  local generation=$1 n
  shift
  for n in "$@"; do
    wait_until 20 at_generation "$n" "$generation" ||
      fail "node-$n does not run generation $generation"
  done
}

answers() {  # answers NODE PATH: waits until a call is answered, prints it
  wait_until 10 fetch "http://$net.$1:8080$2" || fail "no answer for $2"
  fetch "http://$net.$1:8080$2"
}
