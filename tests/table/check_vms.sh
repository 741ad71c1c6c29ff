#!/usr/bin/env bash
# Stops each entry VM of one failure domain in turn, and so also the reader of
# the VM list.  Guards against the others missing that a worker is leaving.
# Each stopped VM must catch up when it continues.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh

# set_worker NAME STATE: registers a worker with STATE.
set_worker ()
{
  curl -s -o /dev/null -X PUT "http://${ADDR[platform]}/v1/admin/vms/$1" \
    -d "{\"role\":\"worker\",\"address\":\"127.0.0.1:1\",\"rack\":\"r1\",
         \"domain\":\"d1\",\"state\":\"$2\",\"accelerators\":8,\"slots\":8,
         \"connections\":60}"
}

# leaving ENTRY COUNT: true when ENTRY shows COUNT leaving workers.
leaving ()
{
  [ "$(operator "$1" /v1/status \
    | jq '[.upstreams[] | select(.leaving)] | length')" = "$2" ]
}

start platform skr-platform
for w in 1 2 3 4 5; do
  set_worker "w$w" live
done
for e in e1 e2 e3; do
  start_entry "$e" d1 --log-level 1
done
for e in e1 e2 e3; do
  wait_for "$HANG" fleet_seen "$e" 5
done
set_worker w1 leaving
for e in e1 e2 e3; do
  expect "$e learns that a worker is leaving" 0 \
    "$(wait_for "$HANG" leaving "$e" 1; echo $?)"
done
n=1
for stopped in e1 e2 e3; do
  kill -STOP "${PID[$stopped]}"
  n=$((n + 1))
  set_worker "w$n" leaving
  for e in e1 e2 e3; do
    [ "$e" = "$stopped" ] || expect "$e learns it while $stopped is stopped" 0 \
      "$(wait_for "$HANG" leaving "$e" "$n"; echo $?)"
  done
  kill -CONT "${PID[$stopped]}"
  expect "$stopped catches up" 0 \
    "$(wait_for "$HANG" leaving "$stopped" "$n"; echo $?)"
done
curl -s -o /dev/null -X DELETE "http://${ADDR[platform]}/v1/admin/vms/w5"
for e in e1 e2 e3; do
  expect "$e learns that a worker is gone" 0 \
    "$(wait_for "$HANG" fleet_seen "$e" 4; echo $?)"
done
exit "$failed"
