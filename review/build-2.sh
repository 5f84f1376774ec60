#!/usr/bin/env bash
# Builds the cases 6 to 10 and every stand-in that they start, into build-review-2. Needs what the deploy file's build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/{6,7,8,9,10}/case.cc; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standin-2 -o "build-review-2/case-$number" "$source" -pthread
done
