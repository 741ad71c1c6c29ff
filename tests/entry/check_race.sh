#!/usr/bin/env bash
# The same key at two VMs at once: one runs it, both give the same answer.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh
ROUNDS=20

start_all 3 2
same=0
once=0
for ((i = 1; i <= ROUNDS; i++)); do
  first e1 "k$i" false 10000 30 > "$work/a" &
  a=$!
  first e2 "k$i" false 10000 30 > "$work/b"
  wait "$a"
  if [ "$(cat "$work/a" "$work/b" | sort -u)" = "200 done" ] \
    && cmp -s "$work/k$i.e1" "$work/k$i.e2"; then
    same=$((same + 1))
  fi
  [ "$(starts "k$i")" = 1 ] && once=$((once + 1))
done
expect "both are done with the same answer" $ROUNDS "$same"
expect "each ran once" $ROUNDS "$once"
expect "another body under the key" "409 -" \
  "$(call e2 k1 false 10000 31)"
expect "another account's key is its own" 404 \
  "$(curl -s -H "Authorization: Bearer $AGENCY" \
    "http://${ADDR[e1]}/v1/calls/k1" | jq .status)"
exit "$failed"
