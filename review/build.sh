#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
clang++-16 -std=c++20 -O1 -g -Wall -Wextra -pthread \
  review/standin/Main.cpp review/standin/Standin.cpp -o target/review/scenario
