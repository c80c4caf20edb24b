#!/usr/bin/env bash
# Builds the programs of the cases of the second review (stand-ins, clients and judge in one) into target/review/.
# The gateway itself comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[6-9]/*.cpp review/10/*.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review/case-$number"
done
