#!/usr/bin/env bash
# Kills an entry VM at each step of a call that may not be repeated, and sends
# the same key to another VM.  Guards against a second run of the call and
# against an answer that contradicts what happened.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh

start_all 3 1

# kill_at POINT: sends a call to a VM that stops at POINT, kills that VM and
# sends the same key to e1; prints the answer of e1.
kill_at ()
{
  start_entry "x$1" d2 --fault-point "$1"
  wait_for "$HANG" has_lists "x$1" 3
  first_attempt "x$1" "key-$1" false 20000 20 > /dev/null &
  wait_for "$HANG" log_has "x$1" "fault-point.*key-$1"
  [ "$1" != after-dispatch ] || wait_for "$HANG" ran "key-$1"
  crash "x$1"
  call e1 "key-$1" false 20000 20 -H "Idempotency-Attempt: 2"
}
ran () { [ "$(count_starts "$1")" = 1 ]; }

expect "killed before the claim: the call runs elsewhere" "200 done" \
  "$(kill_at before-claim)"
expect "killed before the claim: it runs once" 1 \
  "$(count_starts key-before-claim)"
expect "killed between claim and dispatch: unknown" "504 unknown" \
  "$(kill_at after-claim)"
expect "killed between claim and dispatch: it never runs" 0 \
  "$(count_starts key-after-claim)"
expect "killed after the dispatch: unknown" "504 unknown" \
  "$(kill_at after-dispatch)"
expect "killed after the dispatch: it ran once" 1 \
  "$(count_starts key-after-dispatch)"
expect "killed before the answer: done" "200 done" "$(kill_at before-answer)"
expect "killed before the answer: it ran once" 1 \
  "$(count_starts key-before-answer)"
expect "another repeat gets the same answer" "504 unknown" \
  "$(call e1 key-after-claim false 20000 20 -H 'Idempotency-Attempt: 3')"
exit "$failed"
