#!/usr/bin/env bash
# Drains one of two instances while calls run: no call fails.
source "$(dirname "$0")/../example.sh"
start_instances booking booking
apply examples/02_two_groups/rules.yaml
in_force 1 1 2
wait_until 10 fetch "http://$net.1:8083/readyz" || fail "node-1 is not ready"
"$tool" status --admin "$net.1:8083"
"$bin/standin_load" --url "http://$net.1:8080/" --group academies --seconds 5 \
  --connections 4 >"$work/load.json" &
load=$!
sleep 1
"$tool" drain --admin "$net.2:8083"
wait "$load" || { cat "$work/load.json"; fail "calls failed"; }
cat "$work/load.json"
say "done"
