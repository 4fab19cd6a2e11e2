#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 to review/15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/rig-3/*.cc; do
    g++ -std=c++20 -O1 -Wall -pthread "$source" -o "target/review-3/$(basename "$source" .cc)"
done
