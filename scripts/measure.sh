#!/usr/bin/env bash
# Measurements with real processes on loopback addresses.
#
#   measure.sh --nodes N --policy P [--json]   convergence and control bytes
#   measure.sh --calls [OPTIONS]               calls, shares, at most once
#   measure.sh --sweep                         all sizes and policies, kept in
#                                              docs/measured/distribution.jsonl
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build/verbenastile ] || ./scripts/build.sh >/dev/null
case "${1:-}" in
  --calls)
    shift
    exec python3 tools/measure_calls.py "$@"
    ;;
  --sweep)
    out=docs/measured/distribution.jsonl
    : >"$out.new"
    for policy in delta_tree relay_full direct_full; do
      for nodes in 25 50 100 200; do
        python3 tools/measure_distribution.py --nodes "$nodes" \
          --policy "$policy" --json | tee -a "$out.new"
      done
    done
    mv "$out.new" "$out"
    ;;
  *)
    exec python3 tools/measure_distribution.py "$@"
    ;;
esac
