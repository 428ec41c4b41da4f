#!/usr/bin/env bash
# Checks the formatting and runs the linter; fails on any finding.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files '*.cpp' '*.h')
# shellcheck disable=SC2086
clang-format-14 --dry-run --Werror $files
[ -f build/compile_commands.json ] || Meta/build.sh
git ls-files '*.cpp' | xargs -P "$(nproc)" -n 1 \
  clang-tidy-14 -p build --quiet 2>/dev/null
echo 'lint clean'
