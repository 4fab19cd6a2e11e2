#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/out/. Uses the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=review/out
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-maybe-uninitialized -Isrc -I. -Ireview/standins
    -DBOOST_ASIO_SEPARATE_COMPILATION -DBOOST_BEAST_SEPARATE_COMPILATION -DBOOST_ASIO_NO_DEPRECATED
    -DBOOST_ALL_DYN_LINK -DBOOST_ERROR_CODE_HEADER_ONLY)
sources=(review/standins/*.cpp soak/gateway_process.cpp soak/object_service.cpp standins/http_listener.cpp src/core/boost_sources.cpp
    src/core/json_reader.cpp)
compile() {
    object=review/out/$(echo "$1" | tr / -).o
    [ "$object" -nt "$1" ] && [ "$object" -nt review/standins/fleet.h ] || "${CXX:-g++}" "${@:2}" -c "$1" -o "$object"
}
export -f compile
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -I{} bash -euo pipefail -c 'compile "$@"' _ {} "${flags[@]}"
objects=()
for source in "${sources[@]}"; do objects+=("$out/$(echo "$source" | tr / -).o"); done
"${CXX:-g++}" "${objects[@]}" -o "$out/standin.new" -lboost_json -pthread
mv "$out/standin.new" "$out/standin"
