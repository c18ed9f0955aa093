#!/usr/bin/env bash
# Checks the format and runs the linter over all of our sources.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard \
  '*.cc' '*.h' | grep -v '\.capnp\.')
clang-format --dry-run --Werror "${files[@]}"
echo "format: ${#files[@]} files are good"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$')
printf '%s\n' "${sources[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "lint: ${#sources[@]} files are good"
