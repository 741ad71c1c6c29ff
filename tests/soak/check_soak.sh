#!/bin/sh
# Runs the soak test with each seed of seeds.txt, whose lines hold a seed, its
# duration in seconds and the reason for it.
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
    # What the VMs logged of the tasks and jobs that the breaches name.
    grep BREACH "$dir/out" > "$dir/breaches"
    for id in $(grep -oE '[0-9a-f]{16}' "$dir/breaches" | sort -u); do
      grep -h "$id" "$dir/$seed"/vm*.log
    done | cut -c 1-300 | sort -u >> "$dir/lines"
    cat "$dir/breaches" >> "$dir/lines"
  fi
done < tests/soak/seeds.txt
[ "$failed" -eq 0 ] || tail -n 60 "$dir/lines"
[ "$failed" -eq 0 ]
