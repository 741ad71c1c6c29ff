#!/usr/bin/env bash
# Measures ROUNDS times, and compares with their bounds: the time until a
# change of a list is in force on every entry VM, the time until a leaving
# worker gets its last call, and the time of a refusal while the table is down.
# Fails when a time exceeds its bound.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh
ROUNDS=${ROUNDS:-5}
IN_FORCE_MS=5000
LEAVING_MS=3000
REFUSED_MS=1000

now () { date +%s%3N; }
# check_bound WHAT BOUND_MS MS
check_bound ()
{
  printf '%-24s %6d ms, bound %5d ms\n' "$1" "$3" "$2"
  [ "$3" -le "$2" ] || failed=1
}
version_is ()
{
  [ "$(operator "$1" /v1/status | jq .allowances_version)" = "$2" ]
}
set_state () # WORKER STATE
{
  curl -s -o /dev/null -X PUT "http://${ADDR[platform]}/v1/admin/vms/$1" \
    -d "{\"role\":\"worker\",\"address\":\"${ADDR[$1]}\",\"rack\":\"r1\",
         \"domain\":\"d1\",\"state\":\"$2\",\"accelerators\":8,\"slots\":8,
         \"connections\":60}"
}
# last_start WORKER: prints when it last started a call, in ms since 1970.
last_start ()
{
  get "${ADDR[$1]}" /v1/admin/journal | jq '[.entries[].start]|max // 0'
}
send_calls () # ROUND: sends calls for 4 s
{
  local i until=$(($(now) + 4000))
  for ((i = 0; $(now) < until; i++)); do
    first_attempt e1 "c$1-$i" true 5000 1 > /dev/null
  done
}

start_all 3 3
for ((i = 1; i <= ROUNDS; i++)); do
  [ "$(put_list e1 allowances $i "$(allowances $((1000 + i)))")" = 200 ]
  from=$(now)
  for e in e1 e2 e3; do wait_for 300 version_is $e $((i + 1)); done
  check_bound "change in force" $IN_FORCE_MS $(($(now) - from))
done
for ((i = 1; i <= ROUNDS; i++)); do
  set_state w1 leaving
  from=$(now)
  send_calls "$i"
  last=$(($(last_start w1) - from))
  check_bound "last call when leaving" $LEAVING_MS $((last > 0 ? last : 0))
  set_state w1 live
  sleep 2
done
platform_fault '{"mode":"down"}'
sleep 2
for ((i = 1; i <= ROUNDS; i++)); do
  from=$(now)
  [ "$(first_attempt e1 "down$i" false 60000 1)" = "503 not_run" ] || failed=1
  check_bound "refused, table down" $REFUSED_MS $(($(now) - from))
done
exit "$failed"
