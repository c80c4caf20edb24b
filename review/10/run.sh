#!/usr/bin/env bash
# Runs the case against target/bin/burdockshelfd. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
number=10
[ -x target/bin/burdockshelfd ] && [ -x "target/review/case-$number" ] || { echo "run the deploy build and review/build-2.sh first"; exit 2; }
timeout --kill-after=5 110 "target/review/case-$number" "review/$number/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
