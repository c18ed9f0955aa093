#!/usr/bin/env bash
# Applies the first rules, adds one, finds who did it, and goes back.
source "$(dirname "$0")/../example.sh"
here=examples/01_first_rule
say "a store, and an instance of each service"
start_instances booking readiness
apply "$here/rules.yaml"
in_force 1 1 2
say "a call is answered by the rules: $(answers 1 /readiness/7)"
"$tool" rules add "$here/maintenance.yaml" --before rest --who ada
in_force 2 1 2
"$tool" rules explain --path /maintenance
say "who changed it"
"$tool" audit --rule maintenance
"$tool" rules rollback --to 1 --who ada --reason "noon is over"
in_force 3 1 2
say "done"
