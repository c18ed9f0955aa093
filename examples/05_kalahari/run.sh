#!/usr/bin/env bash
# The deployment's own sizes: 7 servers of programme-booking and 3 of
# video-readiness, 10 slots each, in 3 failure domains.
source "$(dirname "$0")/../example.sh"
here=examples/05_kalahari
slots=10
domains=3
start_store
for n in $(seq 10); do
  service=programme-booking
  [ "$n" -le 7 ] || service=video-readiness
  start_upstream "$n"
  start_node "$n" "$service" "domain-$((n % domains))"
done
"$tool" check "$here/rules.yaml"
"$tool" check "$work/node-1.yaml"
apply "$here/rules.yaml"
in_force 1 $(seq 10)
say "a call: $(answers 1 /readiness/7)"
"$tool" rules explain --path /readiness/7 --admin "$net.1:8083"
"$tool" status --admin "$net.1:8083"
say "done"
