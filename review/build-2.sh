#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
clang++-16 -std=c++20 -O2 -Wall -o target/review-2/driver review/standin-2/Driver.cpp
