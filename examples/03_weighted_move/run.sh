#!/usr/bin/env bash
# Moves half of the calls from one service to another, and back.
source "$(dirname "$0")/../example.sh"
here=examples/03_weighted_move
start_instances booking booking-next
apply "$here/rules.yaml"
in_force 1 1 2
answers 1 / >/dev/null
"$tool" rules update "$here/shift.yaml" --who ada --reason "half to next"
in_force 2 1 2
say "upstreams that answered 20 calls:"
for _ in $(seq 20); do fetch "http://$net.1:8080/"; echo; done |
  grep -o 'upstream-[0-9]*' | sort | uniq -c
"$tool" rules rollback --to 1 --who ada
in_force 3 1 2
say "done"
