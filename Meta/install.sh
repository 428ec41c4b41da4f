#!/usr/bin/env bash
# Installs the packages that the build, the tests and the linter need. Does
# nothing if all of them are installed.
set -euo pipefail

packages=(
  clang-16 clang-format-14 clang-tidy-14 libclang-rt-16-dev cmake ninja-build
  pkg-config curl spin gcc
  libboost-dev libwebsocketpp-dev prometheus-cpp-dev libtclap-dev libfmt-dev
  libcriterion-dev nlohmann-json3-dev libvalijson-dev librapidcheck-dev
  libxxhash-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update
apt-get install -y "${missing[@]}"
