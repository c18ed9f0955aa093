#!/usr/bin/env bash
# Runs the fault soak for seeds FIRST to LAST, JOBS at a time; further options
# go to soak/faults.py. Usage: soak/faults.sh FIRST LAST JOBS [OPTION...]
set -euo pipefail
cd "$(dirname "$0")/.."
first=$1 last=$2 jobs=$3
shift 3
seq "$first" "$last" | xargs -P "$jobs" -I{} bash -c \
  'seed=$1; shift; python3 soak/faults.py --seed "$seed" \
     --port-offset $((seed % 500 * 20)) "$@"' _ {} "$@"
