#!/usr/bin/env bash
# Builds the programs of the cases, stand-ins included, into review/bin. Needs a C++ compiler only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cc; do
    "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -I. "$source" -o "bin/case${source%%/*}" &
done
for job in $(jobs -p); do wait "$job"; done
