#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review-3/case-13
folder=$(mktemp -d)
[ -x "$program" ] && [ -x "$root/target/limpetstack-fleetd" ] || { echo "not built" >&2; exit 2; }
timeout -k 5 115 "$program" "$root" "$folder"
code=$?
[ -f "$folder/record.txt" ] && cp "$folder/record.txt" "$here/record.txt"
if [ "${KEEP:-0}" = 1 ]; then echo "$folder"; else rm -rf "$folder"; fi
[ "$code" -le 1 ] || code=2
exit "$code"
