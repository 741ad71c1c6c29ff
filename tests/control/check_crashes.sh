#!/usr/bin/env bash
# A job that ends each worker that runs it is given up; a job beside it is not.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh

SCHED_ARGS=(--task-lease-ms 2000)

state_of ()
{
  curl -s "$platform/v1/rows/jobs.d1/$(printf 'd1~%016x' "$1")" \
    | jq -r "${2-.value.state}"
}

# starts_of NUMBER: prints how often a task of the job has started.
starts_of ()
{
  cat "$work"/journal.* \
    | jq -r 'select(.kind == "task" and .end == null) | .id' \
    | grep -c "$(printf 'd1~%016x' "$1")"
}

# Starts again the workers that have ended, under their names.
restart_workers ()
{
  local w
  for w in w11 w12; do
    kill -0 "${PID[$w]}" 2> /dev/null && continue
    wait "${PID[$w]}" 2> /dev/null
    start "$w" skr-worker --id "$w" --domain d1 --rack r1 \
      --listen 127.0.0.1:0 --platform "$platform" \
      --journal-file "$work/journal.$w" --hold-file "$work/hold.$w"
  done
}

both_ended ()
{
  restart_workers
  case $(state_of 1) in queued|running) return 1 ;; esac
  case $(state_of 2) in queued|running) return 1 ;; esac
}

start_world 1 2
start_sched s1
wait_for "$HANG" has_logged s1 504
put_job d1 2 1 4 1500 true
curl -s -o /dev/null -X POST "$platform/v1/txn" -d "{\"checks\":[],\"ops\":[
  {\"op\":\"put\",\"table\":\"jobs.d1\",\"key\":\"$(printf 'd1~%016x' 1)\",
   \"value\":{\"account\":\"a\",\"key\":\"k1\",\"class\":\"bulk\",\"tasks\":1,
     \"per_task\":1,\"declared_ms\":500,\"repeatable\":true,
     \"preemptible\":true,\"payload\":{\"fake\":{\"crashes\":true}},
     \"state\":\"queued\",\"attempt\":0,\"submitted_at\":1}}]}"
wait_for "$HANG" both_ended
expect "the job that crashes its workers" failed "$(state_of 1)"
expect "it was started five times at most" yes \
  "$([ "$(starts_of 1)" -le 5 ] && echo yes)"
expect "the job beside it" done "$(state_of 2)"
exit "$failed"
