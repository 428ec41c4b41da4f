#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 and up, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
clang++-16 -std=c++20 -O2 -pthread -o target/review-standin-3 \
  review/standin-3/*.cpp
