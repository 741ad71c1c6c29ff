#!/usr/bin/env bash
# An entry VM is killed at each step of a call that may not be repeated;
# another VM answers the same key truthfully, and nothing runs twice.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh

start_all 3 1

# kill_at POINT: the key asked at the VM that dies, then at e1.
kill_at ()
{
  start_entry "x$1" d2 --fault-point "$1"
  wait_for "$HANG" has_lists "x$1" 3
  first "x$1" "key-$1" false 20000 20 > /dev/null &
  wait_for "$HANG" logged "x$1" "fault-point.*key-$1"
  [ "$1" != after-dispatch ] || wait_for "$HANG" ran "key-$1"
  crash "x$1"
  call e1 "key-$1" false 20000 20 -H "Idempotency-Attempt: 2"
}
ran () { [ "$(starts "$1")" = 1 ]; }

expect "before the claim: it runs" "200 done" "$(kill_at before-claim)"
expect "and only once" 1 "$(starts key-before-claim)"
expect "between claim and dispatch" "504 unknown" "$(kill_at after-claim)"
expect "and it never ran" 0 "$(starts key-after-claim)"
expect "after the dispatch" "504 unknown" "$(kill_at after-dispatch)"
expect "and it ran once" 1 "$(starts key-after-dispatch)"
expect "before the answer" "200 done" "$(kill_at before-answer)"
expect "and it ran once" 1 "$(starts key-before-answer)"
expect "a repeat gets the same end" "504 unknown" \
  "$(call e1 key-after-claim false 20000 20 -H 'Idempotency-Attempt: 3')"
exit "$failed"
