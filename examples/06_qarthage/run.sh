#!/usr/bin/env bash
# The deployment's own sizes: 7 servers of pass-booking and 4 of
# telemetry-catalogue, 6 slots each, in 4 failure domains.
source "$(dirname "$0")/../example.sh"
here=examples/06_qarthage
slots=6
domains=4
start_store
for n in $(seq 11); do
  service=pass-booking
  [ "$n" -le 7 ] || service=telemetry-catalogue
  start_upstream "$n"
  start_node "$n" "$service" "domain-$((n % domains))"
done
"$tool" check "$here/rules.yaml"
"$tool" check "$work/node-1.yaml"
apply "$here/rules.yaml"
in_force 1 $(seq 11)
say "a call: $(answers 1 /orbits/7)"
"$tool" rules explain --path /orbits/7 --admin "$net.1:8083"
"$tool" status --admin "$net.1:8083"
say "done"
