#!/bin/sh
# Plays the seeds of seeds.txt for some seconds each: faults of chance against
# real processes. A line there is a seed, its seconds and why it is kept.
set -u
cd "$(dirname "$0")/../.."
soak=${BUILD:-build}/tests/soak/soak
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
while read -r seed seconds why; do
  case $seed in '#'*|'') continue ;; esac
  if "$soak" --program="${BIN:-bin}/skr-batch" --dir="$dir/$seed" \
       --seed "$seed" --seconds "$seconds" > "$dir/out" 2>&1; then
    tail -n 1 "$dir/out"
  else
    failed=$((failed + 1))
    printf 'FAIL seed %s for %s s (%s)\n' "$seed" "$seconds" "$why"
    cat "$dir/out"
  fi
done < tests/soak/seeds.txt
[ "$failed" -eq 0 ]
