#!/usr/bin/env bash
# The holder of a cell is killed, paused and stopped while gangs run: another
# takes over, nothing runs twice and nothing is lost.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh

# A lease that a busy machine does not miss, and tasks that outlive any take-over.
SCHED_ARGS=(--cell-lease-ms 6000 --cell-margin-ms 1500 --task-lease-ms 600000
  --drain-ms 60000)

start_world 1 4
hold
start_sched s1
wait_for "$HANG" has_logged s1 504
start_sched s2
put_job d1 1 4 8 500 false
wait_for "$HANG" has_states d1 "running=1"

crash s1
wait_for "$HANG" has_logged s2 504
expect "killed: the other holds the cell" s2 "$(holder d1)"
expect "killed: the gang runs on" "running=1" "$(states d1)"
release
wait_for "$HANG" has_states d1 "done=1"
expect "killed: it ends done" "done=1" "$(states d1)"
expect "killed: each task began" 4 "$(began)"
expect "killed: no task ran twice" 0 "$(doubled)"

start_sched s3
hold
put_job d1 2 4 8 500 false
wait_for "$HANG" has_states d1 "done=1 running=1"
kill -STOP "${PID[s2]}"
wait_for "$HANG" has_logged s3 504
expect "paused: the other holds the cell" s3 "$(holder d1)"
put_job d1 3 1 1 500 false
kill -CONT "${PID[s2]}"
wait_for "$HANG" has_logged s2 502
release
expect "paused: it finds out" 1 "$(log_count s2 502)"
wait_for "$HANG" has_states d1 "done=3"
expect "paused: both jobs end done" "done=3" "$(states d1)"
expect "paused: no task ran twice" 0 "$(doubled)"
expect "paused: the other is still the holder" s3 "$(holder d1)"

hold
put_job d1 4 4 8 500 false
wait_for "$HANG" has_states d1 "done=3 running=1"
stop s3
expect "stopped: it ends with 0" 0 "$STATUS"
expect "stopped: it had released the cell" 1 "$(log_count s3 503)"
wait_for "$HANG" has_logged s2 504 2
expect "stopped: the other recovers the cell" 2 "$(log_count s2 504)"
expect "stopped: the gang runs on" "done=3 running=1" "$(states d1)"
release
wait_for "$HANG" has_states d1 "done=4"
expect "stopped: the gang ran on to its end" "done=4" "$(states d1)"
expect "stopped: no task ran twice" 0 "$(doubled)"
exit "$failed"
