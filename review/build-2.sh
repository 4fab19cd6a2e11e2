#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, after the build of the deploy file. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -I. -Isrc -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION -DBOOST_ASIO_NO_DEPRECATED
    -DBOOST_ERROR_CODE_HEADER_ONLY -Wno-maybe-uninitialized)
objects=()
pids=()
for source in review/standins-2/main.cpp review/standins-2/small_deployment.cpp review/standins-2/model_runner.cpp standins/http_listener.cpp src/core/boost_sources.cpp; do
    object="$out/$(basename "$source" .cpp).o"
    objects+=("$object")
    g++ "${flags[@]}" -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
g++ "${objects[@]}" -o "$out/review-case" -lboost_json -lpthread
