#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts review/11 to review/15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
read -ra http <<< "$(pkg-config --cflags --libs cpp-httplib)"
flags=(-std=c++17 -O1 -pthread)
compile() {
  g++ "${flags[@]}" "${http[@]}" -c "$1" -o "$2"
}
compile review/stand-ins-3/record.cpp "$out/record.o" &
compile review/stand-ins-3/stage.cpp "$out/stage.o" &
compile review/stand-ins-3/worker.cpp "$out/worker.o" &
for case in review/1[1-5]; do
  if [ -f "$case/main.cpp" ]; then
    compile "$case/main.cpp" "$out/case-${case##*/}.o" &
  fi
done
for job in $(jobs -p); do
  wait "$job"
done
g++ "${flags[@]}" "$out/worker.o" "$out/record.o" -o "$out/worker" "${http[@]}"
for object in "$out"/case-*.o; do
  g++ "${flags[@]}" "$object" "$out/stage.o" "$out/record.o" -o "${object%.o}" "${http[@]}"
done
