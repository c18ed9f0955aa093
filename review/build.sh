#!/usr/bin/env bash
# Builds what the cases start beside the build of deploy/system.toml. Their
# stand-ins are Python programs without dependencies: they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c '
import ast, pathlib
for path in [pathlib.Path("fleet.py"), *pathlib.Path(".").glob("*/case.py")]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
'
