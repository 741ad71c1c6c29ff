#!/usr/bin/env bash
# Measures the costs that docs/CAPACITY.md is based on, for each role, on
# loopback with the stand-ins: the bytes of the control requests to a worker,
# the reads and writes of one entry VM at the table, and the processor time of
# a call on the entry VM.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh
seconds=${SECONDS_EACH:-10}
operator_key=operator-key
account_key=account-key

# cpu NAME: prints the processor time of a program in milliseconds.
cpu ()
{
  awk '{print ($14 + $15) * 10}' "/proc/${PID[$1]}/stat"
}

# rss NAME: prints the resident memory of a program in KB.
rss ()
{
  awk '/VmRSS/{print $2}' "/proc/${PID[$1]}/status"
}

# Prints the reads, writes, bytes in and bytes out at the table.
counters ()
{
  curl -s "$platform/v1/admin/counters" \
    | jq -r '"\(.reads) \(.writes) \(.bytes_in) \(.bytes_out)"'
}

# request_bytes CURL_ARGS...: makes a request and prints its bytes in both
# directions, headers included.
request_bytes ()
{
  curl -s -o /dev/null \
    -w '%{size_request} %{size_upload} %{size_header} %{size_download}\n' "$@" \
    | awk '{print $1 + $2 + $3 + $4}'
}

# Starts one entry VM, which is an skr-entry and an skr-sched, and waits until
# it has recovered the cell.
start_vm ()
{
  local port=$((10000 + RANDOM % 22000)) digest
  digest=$("$BIN/skr" key digest "$operator_key")
  start entry skr-entry --vm e1 --domain d1 --listen 127.0.0.1:0 \
    --platform "$platform" --peer "127.0.0.1:$port" \
    --operator-digest "$digest" --spare-workers 0 --log-level 1
  start_sched s1 --peers "127.0.0.1:$port" --cell-lease-ms 3000 \
    --task-lease-ms 10000
  wait_for 100 has_logged s1 504
}

# Kills all programs that were started.
end_world ()
{
  local name
  for name in "${!PID[@]}"; do
    crash "$name" 2> /dev/null
  done
}

# Measures the control requests to a worker.
worker_exchanges ()
{
  local workers=2 n w
  start_world 1 "$workers"
  start_vm
  echo "== bytes of one exchange with a worker"
  echo "lease renewal: $(request_bytes -X POST "http://${ADDR[w11]}/v1/leases" \
    -d '{"cell":"none","epoch":1,"lease_ms":10000}')"
  for n in 0 4 8; do
    for w in $(seq $((n > 0 ? n * workers : 0))); do
      put_job d1 $((n * 100 + w)) 1 0 600000 true
    done
    sleep 3
    echo "poll: $(request_bytes "http://${ADDR[w11]}/v1/tasks?cell=d1") with $(
      curl -s "http://${ADDR[w11]}/v1/tasks?cell=d1" | jq '.tasks | length'
    ) tasks"
  done
  end_world
}

# Measures the traffic at the table without load.
table_traffic ()
{
  local workers before after
  echo "== one entry VM (entry and scheduler, one cell) at the table, idle"
  echo "workers reads/s writes/s bytes-in/s bytes-out/s"
  for workers in 4 16 32; do
    start_world 1 "$workers"
    start_vm
    sleep 2
    before=$(counters)
    sleep "$seconds"
    after=$(counters)
    echo "$before $after $workers $seconds" | awk '{
      printf "%7d %7.1f %8.1f %10d %11d\n", $9, ($5 - $1) / $10,
        ($6 - $2) / $10, ($7 - $3) / $10, ($8 - $4) / $10 }'
    end_world
  done
}

# Puts the allowances and plans of one account and waits until they are in
# force.
put_lists ()
{
  local digest
  digest=$("$BIN/skr" key digest "$account_key")
  echo '{"version":0,"list":[{"plan":"p","guarantee":[],
    "calls_per_second":100000,"concurrent_calls":10000,"queued_jobs":10}]}' \
    > "$work/allowances"
  echo "{\"version\":0,\"list\":[{\"account\":\"a\",\"plan\":\"p\",
    \"key_digest\":\"$digest\"}]}" > "$work/plans"
  wait_for 100 "$BIN/skr" --entry "${ADDR[entry]}" --key "$operator_key" \
    allowances put "$work/allowances"
  "$BIN/skr" --entry "${ADDR[entry]}" --key "$operator_key" \
    plans put "$work/plans" > /dev/null
  sleep 2
}

# calls PERCENT: measures 2,000 calls, PERCENT of which may be repeated.
calls ()
{
  local before wrote
  before=$(cpu entry)
  wrote=$(counters | cut -d ' ' -f 2)
  "$BIN/skr-load" --entries "${ADDR[entry]}" --accounts "a=$account_key" \
    --prefix "c$1" --rate 200 --count 2000 --repeatable-percent "$1" \
    --run-ms 1 --deadline-ms 5000 > "$work/load.out"
  echo "repeatable $1 %: $((($(cpu entry) - before) * 1000 / 2000)) us of" \
    "entry CPU a call; $((($(counters | cut -d ' ' -f 2) - wrote) * 100 / 2000))" \
    "writes for 100 calls; $(head -n 1 "$work/load.out")"
}

entry_calls ()
{
  echo "== calls at one entry VM, 200 a second, 16 workers"
  start_world 1 16
  start_vm
  put_lists
  echo "entry memory: $(rss entry) KB before"
  calls 100
  calls 0
  echo "entry memory: $(rss entry) KB after 4,000 calls"
  end_world
}

worker_exchanges
table_traffic
entry_calls
