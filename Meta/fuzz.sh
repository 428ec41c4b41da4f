#!/usr/bin/env bash
# Runs the fuzzers or the stateful tests with AddressSanitizer:
#   Meta/fuzz.sh [--seed N] [--minutes M]   stateful tests for M minutes
#   Meta/fuzz.sh --inputs [--runs N]        libFuzzer targets, N inputs each
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1 minutes=5 inputs='' runs=100000
while [ $# -gt 0 ]; do
  case $1 in
  --seed) seed=$2; shift ;;
  --minutes) minutes=$2; shift ;;
  --runs) runs=$2; shift ;;
  --inputs) inputs=yes ;;
  *) echo "unknown option '$1'" >&2; exit 2 ;;
  esac
  shift
done
CXX=clang++-16 cmake -S . -B build-sanitize -G Ninja -DDOTTEREL_SANITIZE=ON \
  -DCMAKE_BUILD_TYPE=Release >/dev/null

if [ -n "$inputs" ]; then
  targets=(PeerCodec CallerFront PeerReport RelayHeaders EventFramer)
  ninja -C build-sanitize "${targets[@]/#/Fuzz}" >/dev/null
  corpus=$(mktemp -d)
  trap 'rm -rf "$corpus"' EXIT
  printf '\0POST /v1/completions HTTP/1.1\r\nContent-Length: 60\r\n\r\n%s' \
    '{"model": "m", "prompt": "p", "max_tokens": 3, "stream": 1}' \
    >"$corpus/completion"
  printf '\3%s' "$(cat Examples/demo-configuration.json)" >"$corpus/configuration"
  printf '\3id: 7\ndata: a\r\n\r\n: c\n\nid: 8\nda' >"$corpus/events"
  printf 'Store-Era: 7\nServer-Leaving: 1\nRetry-After: 2.5' >"$corpus/headers"
  for target in "${targets[@]}"; do
    if build-sanitize/Tests/Fuzz$target -seed="$seed" -runs="$runs" \
      -max_len=4096 -artifact_prefix="$corpus/" "$corpus" >"$corpus/log" 2>&1; then
      echo "ok - Fuzz::$target $(grep -c . "$corpus/log") lines, seed $seed, $runs runs"
    else
      tail -40 "$corpus/log"
      echo "not ok - Fuzz::$target seed $seed"
    fi
  done
  exit 0
fi

ninja -C build-sanitize TestLibControl >/dev/null
end=$((SECONDS + minutes * 60))
while [ $SECONDS -lt $end ]; do
  echo "seed $seed"
  RC_PARAMS="seed=$seed max_success=500 max_size=200" \
    build-sanitize/Tests/TestLibControl --filter 'Promises/*'
  seed=$((seed + 1))
done
