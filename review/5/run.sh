#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
# run. TROUBLE=0 leaves out the disruption. Needs the build of the deploy file
# and review/build.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/dotterelstream ] && [ -x target/review/scenario ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 110 \
  target/review/scenario deadly review/5/record.txt "$folder"
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
