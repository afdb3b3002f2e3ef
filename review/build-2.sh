#!/usr/bin/env bash
# Builds the programs of the cases 6 and later, with their stand-ins, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
    name="case-$(basename "$(dirname "$source")")"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "$source" review/standin-2/standin.cpp
done
