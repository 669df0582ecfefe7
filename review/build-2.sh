#!/bin/bash
# Builds what the scripts of review/4 to review/8 start, after the build of the deploy file: one program a case, each with
# the stand-ins (review/lib-2, and the project's own state service of bench/scale).
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Iinclude -Ibench/scale -Ireview/lib-2)
sources=(review/lib-2/harness.cpp bench/scale/stand_in_state.cpp src/net/loop.cpp src/net/http.cpp src/net/client.cpp
  src/net/server.cpp src/wire/cbor.cpp)
objects=()
for source in "${sources[@]}" review/[4-8]/case.cpp; do
  [ -e "$source" ] || continue
  object="$out/$(echo "$source" | tr / -).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  [[ "$source" == review/[4-8]/* ]] || objects+=("$object")
done
wait
for source in review/[4-8]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -o "$out/case-$number" "$out/$(echo "$source" | tr / -).o" "${objects[@]}" -lev -lfmt
done
