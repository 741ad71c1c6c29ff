#!/bin/sh
# Compares the report of fixed samples, in which one VM restarts, with a golden
# file, and checks that an invalid objective is refused by its number.
set -eu
dir=tests/burn
out=$(mktemp)
code=0
"$BIN/skr-burn" --objectives $dir/objectives.json --samples $dir/samples.jsonl \
  > "$out" || code=$?
[ "$code" -eq 1 ] || { echo "exit code $code, not 1 (too fast)"; exit 1; }
diff $dir/report.golden "$out"
code=0
"$BIN/skr-burn" --objectives $dir/bad.json --samples $dir/samples.jsonl \
  2> "$out" || code=$?
[ "$code" -eq 2 ] || { echo "exit code $code, not 2 (usage)"; exit 1; }
grep -q 'bad.json: entry 0: within_ms' "$out"
rm -f "$out"
