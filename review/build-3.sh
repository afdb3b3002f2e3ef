#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the build of the deploy file, whose libraries they use.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for source in review/1[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-restrict -Isrc "$source" review/standin-3/*.cpp \
        target/src/http/libmt_http.a target/src/base/libmt_base.a -lboost_json -lboost_url -lxxhash -lpthread \
        -o "$out/$(basename "$source" .cpp)"
done
