#!/usr/bin/env bash
# Two groups share; one of them asks for more rules than its quota.
source "$(dirname "$0")/../example.sh"
here=examples/02_two_groups
start_instances booking
apply "$here/rules.yaml"
in_force 1 1
"$tool" rules explain --group academies --path /
"$tool" rules explain --group gyms --path /
say "one rule beyond the quota of gyms is refused"
if "$tool" rules add "$here/too_many.yaml"; then
  fail "the quota did not hold"
fi
"$tool" status --admin "$net.1:8083"
say "done"
