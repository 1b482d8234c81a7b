#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/build/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
flags=(-std=c++17 -O1 -Isrc -Iinclude -I. -Isrc/generated)
libraries=(target/liblimpetstack.a target/liblimpetstack_wire.a -lpthread -labsl_strings -labsl_throw_delegate)
pids=()
g++ "${flags[@]}" -c experiment/process.cpp -o review/build/process.o & pids+=($!)
g++ "${flags[@]}" -c review/stage/stage.cpp -o review/build/stage.o & pids+=($!)
g++ "${flags[@]}" review/stage/runner.cpp "${libraries[@]}" -o review/build/runner & pids+=($!)
for case in review/*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ "${flags[@]}" -c "$case" -o "review/build/case-$number.o" & pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for case in review/*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ "review/build/case-$number.o" review/build/process.o review/build/stage.o "${libraries[@]}" \
    -o "review/build/case-$number"
done
