#!/usr/bin/env bash
# Records the counters of an entry VM under a steady load of calls, with a
# store outage of 6 s, then prints the burn report and writes the plot to
# build/burn.
cd "$(dirname "$0")/../.." || exit 1
. tests/control/lib.sh
plot=build/burn
operator_key=operator-key
account_key=account-key

port=$((10000 + RANDOM % 22000))
start_world 1 8
start entry skr-entry --vm e1 --domain d1 --listen 127.0.0.1:0 \
  --platform "$platform" --peer "127.0.0.1:$port" --spare-workers 0 \
  --operator-digest "$("$BIN/skr" key digest "$operator_key")" --log-level 1
start sched skr-sched --vm e1 --domain d1 --platform "$platform" \
  --peer "127.0.0.1:$((port + 1))" --peers "127.0.0.1:$port" --log-level 1
echo '{"version":0,"list":[{"plan":"p","guarantee":[],
  "calls_per_second":100000,"concurrent_calls":10000,"queued_jobs":10}]}' \
  > "$work/allowances"
echo "{\"version\":0,\"list\":[{\"account\":\"desk\",\"plan\":\"p\",
  \"key_digest\":\"$("$BIN/skr" key digest "$account_key")\"}]}" > "$work/plans"
wait_for 100 "$BIN/skr" --entry "${ADDR[entry]}" --key "$operator_key" \
  allowances put "$work/allowances"
"$BIN/skr" --entry "${ADDR[entry]}" --key "$operator_key" \
  plans put "$work/plans" > /dev/null
sleep 2
mkdir -p "$plot"
rm -f "$plot/samples.jsonl"
"$BIN/skr-burn" --entry "${ADDR[entry]}" --key "$operator_key" \
  --samples "$plot/samples.jsonl" --every-ms 500 --for-ms 32000 record &
recorder=$!
"$BIN/skr-load" --entries "${ADDR[entry]}" --accounts "desk=$account_key" \
  --prefix burn --rate 60 --count 1600 --repeatable-percent 50 --run-ms 5 &
load=$!
sleep 10
curl -s -o /dev/null -X POST "$platform/v1/admin/faults" -d '{"mode":"down"}'
sleep 6
curl -s -o /dev/null -X POST "$platform/v1/admin/faults" -d '{"mode":"ok"}'
wait "$load" "$recorder"
"$BIN/skr-burn" --objectives tests/burn/outage.json \
  --samples "$plot/samples.jsonl"
echo "exit code $?"
"$BIN/skr-burn" --objectives tests/burn/outage.json \
  --samples "$plot/samples.jsonl" --plot-dir "$plot" plot
(cd "$plot" && gnuplot burn.gp) && echo "plot: $plot/burn.png"
