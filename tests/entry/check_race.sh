#!/usr/bin/env bash
# Sends the same key to two entry VMs at once.  Guards against a call that runs
# on both or gets two different answers.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh
ROUNDS=20

start_all 3 2
same=0
once=0
for ((i = 1; i <= ROUNDS; i++)); do
  first_attempt e1 "k$i" false 10000 30 > "$work/a" &
  a=$!
  first_attempt e2 "k$i" false 10000 30 > "$work/b"
  wait "$a"
  if [ "$(cat "$work/a" "$work/b" | sort -u)" = "200 done" ] \
    && cmp -s "$work/k$i.e1" "$work/k$i.e2"; then
    same=$((same + 1))
  fi
  [ "$(count_starts "k$i")" = 1 ] && once=$((once + 1))
done
expect "both VMs give the same answer" $ROUNDS "$same"
expect "each call ran once" $ROUNDS "$once"
expect "another body with a used key is refused" "409 -" \
  "$(call e2 k1 false 10000 31)"
expect "keys of different accounts are separate" 404 \
  "$(curl -s -H "Authorization: Bearer $AGENCY" \
    "http://${ADDR[e1]}/v1/calls/k1" | jq .status)"
exit "$failed"
