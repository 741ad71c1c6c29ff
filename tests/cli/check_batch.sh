#!/bin/sh
# skr batch queries the VMs that run skr-batch.  A VM without a connection to
# its store must be reported as such, and one that does not answer must have a
# row, too.
set -u
cd "$(dirname "$0")/../.."
skr=${BIN:-bin}/skr
dir=$(mktemp -d)
failed=0
pid=
trap 'kill "$pid" 2> /dev/null; wait; rm -rf "$dir"' EXIT

fail ()
{
  echo "FAIL $*"
  cat "$dir/out"
  failed=1
}

port=$((20000 + $$ % 12000))
vm=127.0.0.1:$port
# No program listens on port 9 (discard), so the store is unreachable.
"${BIN:-bin}/skr-batch" --vm=vm1 --listen=127.0.0.1:0 --metrics-listen="$vm" \
  --store=127.0.0.1:9 > "$dir/log" 2>&1 &
pid=$!
until curl -s -o /dev/null "http://$vm/metrics"; do
  kill -0 "$pid" 2> /dev/null || { cat "$dir/log"; exit 1; }
  sleep 0.1
done
until "$skr" batch status "$vm" > "$dir/out" && grep -q down "$dir/out"; do
  kill -0 "$pid" 2> /dev/null || { fail "skr-batch ended"; exit 1; }
  sleep 0.1
done
grep -q "vm1 *follows" "$dir/out" || fail "status has no phase"
"$skr" batch status "$vm" 127.0.0.1:9 > "$dir/out" \
  || fail "one unreachable VM fails the command"
[ "$(grep -c 127.0.0.1 "$dir/out")" -eq 2 ] || fail "a VM has no row"
"$skr" batch status 127.0.0.1:9 > "$dir/out"
[ $? -eq 7 ] || fail "no VM answers, and the exit code is not 7"
"$skr" batch job 00000000000000a1 "$vm" > "$dir/out"
[ $? -eq 6 ] || fail "the exit code for an unknown job is not 6"
"$skr" batch resume 00000000000000a1 "$vm" > "$dir/out"
[ $? -eq 6 ] || fail "the exit code for a job that is not suspended is not 6"
"$skr" batch nonsense > "$dir/out" 2>&1
[ $? -eq 2 ] || fail "the exit code for wrong usage is not 2"
exit "$failed"
