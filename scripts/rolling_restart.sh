#!/usr/bin/env bash
# Restarts every node of a small fleet under load; exit code 0 when no call was
# lost, doubled or cut.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x build/verbenastile ] || ./scripts/build.sh >/dev/null
exec python3 tools/rolling_restart.py "$@"
