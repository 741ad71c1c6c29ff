#!/bin/sh
# Compares the policies on the same random traces of steady load, for mostly
# small jobs (completion time has the higher weight) and mostly large gangs
# (fragmentation has the higher weight).  EVENTS and SEED may be set.  Writes
# the table to build/bench_policy.tsv for plot_policy.sh.
set -eu
cd "$(dirname "$0")/../.."
replay=${BIN:-bin}/skr-replay
out=${BUILD:-build}/bench_policy.tsv
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

field () # prints the value at a path such as completion_ms.bulk.p50
{
  printf '%s' "$1" | awk -v path="$2" '
    { n = split(path, part, "."); s = $0
      for (i = 1; i <= n; i++) {
        at = index(s, "\"" part[i] "\":"); if (!at) { print "-"; exit }
        s = substr(s, at + length(part[i]) + 3) }
      match(s, /^[^,}]*/); print substr(s, 1, RLENGTH) }'
}

columns='completion_ms.urgent.p50 completion_ms.urgent.p99
completion_ms.bulk.p50 completion_ms.bulk.p99 slowdown.urgent.p99
slowdown.bulk.p50 slowdown.bulk.p99 fragmentation utilization
wait_ms.urgent.p50 wait_ms.urgent.max reclaim_ms.p50 reclaim_ms.max
preemptions'
{
  printf 'mix\tload\tpolicy'
  for c in $columns; do printf '\t%s' "$c"; done
  printf '\n'
} > "$out"
for mix in small large; do
  case $mix in
    small) flag= weights='--weight-completion 3 --weight-fragmentation 1' ;;
    large) flag=--large weights='--weight-completion 1 --weight-fragmentation 3' ;;
  esac
  for load in 70 85 90 95; do
    # shellcheck disable=SC2086
    "$replay" --random --seed "${SEED:-1}" --events "${EVENTS:-40000}" \
      --workers 50 --equipped 100 --accounts 4 --load "$load" $flag \
      --faults estimates --emit "$dir/trace" --no-check > "$dir/default" $weights
    for policy in default fifo-first-fit best-fit; do
      # shellcheck disable=SC2086
      line=$("$replay" --policy "$policy" $weights --no-check \
        "$dir/trace" | tail -n 1)
      printf '%s\t%s\t%s' "$mix" "$load" "$policy"
      for c in $columns; do printf '\t%s' "$(field "$line" "$c")"; done
      printf '\n'
    done
  done
done >> "$out"
column -t -s "$(printf '\t')" "$out"
