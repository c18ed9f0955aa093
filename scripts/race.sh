#!/usr/bin/env bash
# Operators race to change the rules through the platform's stand-in, which
# loses answers and has outages. Exit code 0 when every outcome was true.
#
#   race.sh [--operators N] [--changes N] [--lose-one-in N] [--outages N]
#           [--flood] [--json]
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build/verbenastile ] || ./scripts/build.sh >/dev/null
exec python3 tools/race.py "$@"
