#!/bin/sh
# Guards against a crash that can't be traced to its lines: the line that a
# killed process logs must name functions, and only for the same build.
set -u
cd "$(dirname "$0")/../.."
bin=${BIN:-bin}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0

fail ()
{
  echo "FAIL $*"
  cat "$dir/log" "$dir/out"
  failed=1
}

# No program listens on port 9 (discard).
"$bin/skr-batch" --vm=vm1 --listen=127.0.0.1:0 --store=127.0.0.1:9 \
  > "$dir/log" 2>&1 &
pid=$!
until grep -q started "$dir/log"; do
  kill -0 "$pid" 2> /dev/null || { cat "$dir/log"; exit 1; }
  sleep 0.1
done
kill -SEGV "$pid"
wait "$pid" 2> /dev/null
[ $? -eq 139 ] || fail "the exit status is not that of the signal"
"$bin/skr" crash "$bin/skr-batch" "$dir/log" > "$dir/out" || fail "no event"
grep -q "signal 11" "$dir/out" || fail "no signal"
grep -qE "0x[0-9a-f]+ (bs_stop_wait|serve|main) src/.*\.c:[0-9]+$" \
  "$dir/out" || fail "no function"
"$bin/skr" crash "$bin/skr-entry" "$dir/log" | grep -q "another build" \
  || fail "another program is taken for the one that crashed"
"$bin/skr" crash "$bin/skr-batch" /dev/null > "$dir/out"
[ $? -eq 6 ] || fail "the exit code without an event is not 6"
exit "$failed"
