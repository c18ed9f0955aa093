#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs that use
# its standard library only, so this checks that they compile; it writes nothing.
# The sidecar comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
for path in [pathlib.Path("rig_2.py"), *sorted(pathlib.Path(".").glob("[6-9]/*.py")),
             *sorted(pathlib.Path(".").glob("10/*.py"))]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(path, "compiles")
CHECK
