#!/usr/bin/env bash
# Cost of the VM list for several numbers of workers: bytes sent by the
# platform and processor time of each entry VM of one failure domain.  Then the
# time until all entry VMs know that a worker is leaving, also while one of them
# is stopped.
cd "$(dirname "$0")/../.." || exit 1
. tests/entry/lib.sh
seconds=${SECONDS_EACH:-10}
entries=${ENTRIES:-4}

# cpu: prints the processor time of all entry VMs in milliseconds.
cpu ()
{
  local i
  for ((i = 1; i <= entries; i++)); do
    awk '{print ($14 + $15) * 10}' "/proc/${PID[e$i]}/stat"
  done | awk '{sum += $1} END {print sum}'
}

bytes_out ()
{
  curl -s "http://${ADDR[platform]}/v1/admin/counters" | jq .bytes_out
}

# add_workers WORKERS: registers so many idle workers with one curl.
add_workers ()
{
  local i
  for ((i = 1; i <= $1; i++)); do
    [ "$i" -eq 1 ] || echo next
    printf 'url = "http://%s/v1/admin/vms/worker-%d"\n' "${ADDR[platform]}" "$i"
    printf 'request = "PUT"\noutput = "/dev/null"\ndata = "%s"\n' \
      "{\\\"role\\\":\\\"worker\\\",\\\"address\\\":\\\"127.0.0.1:1\\\",\\\"rack\\\":\\\"r$((i / 8))\\\",\\\"domain\\\":\\\"d1\\\",\\\"state\\\":\\\"live\\\",\\\"accelerators\\\":8,\\\"slots\\\":8,\\\"connections\\\":60}"
  done > "$work/fleet"
  curl -s -K "$work/fleet"
}

# leaving COUNT ENTRIES: true when each entry VM shows COUNT leaving workers.
leaving ()
{
  local want=$1 e
  shift
  for e in "$@"; do
    [ "$(operator "$e" /v1/status \
      | jq '[.upstreams[] | select(.leaving)] | length')" = "$want" ] || return 1
  done
}

# leave NUMBER: marks that worker as leaving.
leave ()
{
  curl -s -o /dev/null -X PUT \
    "http://${ADDR[platform]}/v1/admin/vms/worker-$1" -d "{\"role\":\"worker\",
      \"address\":\"127.0.0.1:1\",\"rack\":\"r1\",\"domain\":\"d1\",
      \"state\":\"leaving\",\"accelerators\":8,\"slots\":8,
      \"connections\":60}"
}

# time_until_known NUMBER ENTRIES: marks worker NUMBER as leaving and prints
# the milliseconds until all of ENTRIES know it.
time_until_known ()
{
  local from
  from=$(date +%s%3N)
  leave "$1"
  wait_for 100 leaving "$@"
  echo $(($(date +%s%3N) - from))
}

start platform skr-platform
for ((i = 1; i <= entries; i++)); do
  start_entry "e$i" d1 --log-level 1
done
echo "workers, bytes/s and ms/s of processor time for each of $entries VMs"
for workers in 8 250 500 1000; do
  add_workers "$workers"
  wait_for 100 fleet_seen "e$entries" "$workers"
  sleep 3
  bytes=$(bytes_out)
  used=$(cpu)
  sleep "$seconds"
  echo "$workers $(bytes_out) $bytes $(cpu) $used $seconds $entries" \
    | awk '{printf "%7d %10d %8.1f\n", $1, ($2 - $3) / $6 / $7,
        ($4 - $5) / $6 / $7}'
done

echo "ms until all VMs know that a worker leaves (1000 workers)"
all=$(seq -f 'e%g' "$entries")
n=0
for _ in 1 2 3 4 5 6; do
  n=$((n + 1))
  # shellcheck disable=SC2086
  echo "all live: $(time_until_known "$n" $all)"
done
for stopped in $all; do
  n=$((n + 1))
  kill -STOP "${PID[$stopped]}"
  # shellcheck disable=SC2046
  echo "$stopped stopped:" \
    "$(time_until_known "$n" $(echo "$all" | grep -vx "$stopped"))"
  kill -CONT "${PID[$stopped]}"
  sleep 5
done
