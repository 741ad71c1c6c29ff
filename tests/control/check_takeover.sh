#!/usr/bin/env bash
# The holder of a cell is killed, paused and stopped while gangs run: another
# takes over, nothing runs twice and nothing is lost.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh

start_world 1 4
start_sched s1
wait_for 100 has_logged s1 504
start_sched s2
put_job d1 1 4 8 6000 false
wait_for 100 has_states d1 "running=1"

crash s1
wait_for 150 has_logged s2 504
expect "killed: the other holds the cell" s2 "$(holder d1)"
expect "killed: the gang runs on" "running=1" "$(states d1)"
wait_for 150 has_states d1 "done=1"
expect "killed: it ends done" "done=1" "$(states d1)"
expect "killed: each task began" 4 "$(began)"
expect "killed: no task ran twice" 0 "$(doubled)"

start_sched s3
put_job d1 2 4 8 6000 false
wait_for 100 has_states d1 "done=1 running=1"
kill -STOP "${PID[s2]}"
wait_for 150 has_logged s3 504
expect "paused: the other holds the cell" s3 "$(holder d1)"
put_job d1 3 1 1 500 false
kill -CONT "${PID[s2]}"
wait_for 100 has_logged s2 502
expect "paused: it finds out" 1 "$(log_count s2 502)"
wait_for 150 has_states d1 "done=3"
expect "paused: both jobs end done" "done=3" "$(states d1)"
expect "paused: no task ran twice" 0 "$(doubled)"
expect "paused: the other is still the holder" s3 "$(holder d1)"

put_job d1 4 4 8 3000 false
wait_for 100 has_states d1 "done=3 running=1"
stop s3
expect "stopped: it ends with 0" 0 "$STATUS"
expect "stopped: it had released the cell" 1 "$(log_count s3 503)"
wait_for 100 has_logged s2 504
wait_for 150 has_states d1 "done=4"
expect "stopped: the gang ran on to its end" "done=4" "$(states d1)"
expect "stopped: no task ran twice" 0 "$(doubled)"
exit "$failed"
