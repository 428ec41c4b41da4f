#!/usr/bin/env bash
# Builds the programs and the tests into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/install.sh
CXX=clang++-16 cmake -S . -B build -G Ninja >/dev/null
ninja -C build
