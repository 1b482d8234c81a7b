#!/usr/bin/env bash
# Builds the stand-ins and the script cases of the second review into review/build-2/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
compile() { g++ -std=c++17 -O1 -pthread -c "$1" -o "$2"; }
compile stage-2/stage.cpp build-2/stage.o &
stage=$!
compile stage-2/runner.cpp build-2/runner.o &
runner=$!
compile stage-2/policy.cpp build-2/policy.o &
policy=$!
wait "$stage"
wait "$runner"
wait "$policy"
g++ -pthread build-2/runner.o build-2/stage.o -lcpp-httplib -o build-2/runner
g++ -pthread build-2/policy.o build-2/stage.o -lcpp-httplib -o build-2/policy
for file in [6-9]/case.cpp 10/case.cpp; do
  [ -e "$file" ] || continue
  number=$(dirname "$file")
  compile "$file" "build-2/case-$number.o"
  g++ -pthread "build-2/case-$number.o" build-2/stage.o -lcpp-httplib -o "build-2/case-$number"
done
