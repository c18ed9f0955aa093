#!/usr/bin/env bash
# Builds, starts a small fleet on loopback addresses, changes rules while
# calls run, and says what took effect. Exit code 0 when all was as expected.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install.sh
./scripts/build.sh >/dev/null
work=$(mktemp -d)
source scripts/fleet.sh
trap 'stop_fleet; rm -rf "$work"' EXIT
export VERBENASTILE_PLATFORM=http://$platform
fail() { echo "quickstart: $*" >&2; tail -n 5 "$work"/*.log >&2; exit 1; }

echo "1. The platform's stand-in and five nodes with their upstreams start."
start_store
services=(booking booking booking readiness readiness)
for n in 1 2 3 4 5; do
  start_upstream "$n"
  start_node "$n" "${services[$((n - 1))]}" "windhoek-$((n % 3))"
done

echo "2. The first rules are applied."
wait_until 10 "$bin/verbenastile" rules apply examples/01_first_rule/rules.yaml \
  --who quickstart --reason "first rules" || fail "the rules were not accepted"
for n in 1 2 3 4 5; do
  wait_until 10 at_generation "$n" 1 || fail "node-$n has no generation 1"
  wait_until 10 fetch "http://127.0.11.$n:8083/readyz" ||
    fail "node-$n is not ready"
  echo "   node-$n runs generation $(generation_of "$n")"
done
wait_until 10 fetch http://127.0.11.1:8080/readiness/7 || fail "no answer"
echo "   node-1 answers: $(fetch http://127.0.11.1:8080/readiness/7)"

echo "3. Rules change while calls run."
urls=()
for n in 1 2 4 5; do urls+=(--url "http://127.0.11.$n:8080/readiness/1"); done
"$bin/standin_load" "${urls[@]}" --seconds 6 --connections 8 \
  >"$work/load.json" &
load=$!
"$bin/verbenastile" rules add examples/01_first_rule/maintenance.yaml \
  --before rest --who quickstart --reason "noon" >/dev/null
"$bin/verbenastile" rules move maintenance --before payments \
  --who quickstart >/dev/null
for n in 1 2 3 4 5; do
  wait_until 10 at_generation "$n" 3 || fail "node-$n has no generation 3"
done
fetch http://127.0.11.2:8080/maintenance >/dev/null &&
  fail "the rule maintenance is not in force"
echo "   the store is killed and comes back"
stop_one store KILL
sleep 1
start_store
"$bin/verbenastile" drain --admin 127.0.11.3:8083 >/dev/null
echo "   node-3 leaves gracefully"
wait_until 10 "$bin/verbenastile" rules retire maintenance --who quickstart ||
  fail "the rule was not retired"
wait "$load" || { cat "$work/load.json" >&2; fail "calls failed"; }
cat "$work/load.json"

echo "4. What took effect, and who did it."
for n in 1 2 4 5; do
  wait_until 15 at_generation "$n" 4 || fail "node-$n has no generation 4"
  echo "   node-$n runs generation $(generation_of "$n")"
done
"$bin/verbenastile" audit
echo "quickstart: all was as expected"
