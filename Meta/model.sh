#!/usr/bin/env bash
# Checks one model: Meta/model.sh FILE [-DGUARD ...]. Prints "holds" or
# "violated" and exits with 0 in both cases; exits with 2 if the check itself
# failed.
set -euo pipefail
cd "$(dirname "$0")/.."
model=$PWD/$1
shift
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"
spin "$@" -a "$model" >spin.log 2>&1 || { cat spin.log >&2; exit 2; }
gcc -O2 -w -DNOREDUCE -DMEMLIM=2048 -o pan pan.c
./pan -a -m200000 >pan.log 2>&1 || { cat pan.log >&2; exit 2; }
if grep -qE 'max search depth too small|out of memory|MEMLIM' pan.log; then
  cat pan.log >&2
  exit 2
fi
states=$(awk '/states, stored/ {print $1; exit}' pan.log)
if grep -q 'errors: 0' pan.log; then
  echo "holds, $states states"
else
  echo "violated, after $states states"
fi
