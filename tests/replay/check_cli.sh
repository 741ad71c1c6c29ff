#!/bin/sh
# Checks that invalid settings give exit code 2, an error message and no
# actions, and that a trace can be read from standard input.
set -u
cd "$(dirname "$0")/../.."
replay=${BIN:-bin}/skr-replay
golden=tests/golden
out=$(mktemp) err=$(mktemp)
trap 'rm -f "$out" "$err"' EXIT
failed=0

refuse ()
{
  want=$1
  shift
  "$replay" "$@" > "$out" 2> "$err" < /dev/null
  code=$?
  [ "$code" -eq 2 ] && [ ! -s "$out" ] && grep -q -e "$want" "$err" && return
  printf 'FAIL skr-replay %s: exit code %d\n' "$*" "$code"
  cat "$err"
  failed=$((failed + 1))
}

refuse 'one TRACE is needed'
refuse 'one TRACE is needed' "$golden/cancel.trace" "$golden/slots.trace"
refuse 'takes no trace' --random "$golden/cancel.trace"
refuse 'No such file' "$golden/nothing.trace"
refuse 'cannot be read' "$golden"
refuse '--policy' --policy quick "$golden/cancel.trace"
refuse 'has no fault "dwn"' --random --faults down,dwn,leaving
refuse '--weight-completion.*0 to 1000' --weight-completion -1 \
  "$golden/cancel.trace"
refuse '--weight-fragmentation' --weight-fragmentation nan \
  "$golden/cancel.trace"
refuse '--spare-workers' --spare-workers x "$golden/cancel.trace"
refuse '--seed' --random --seed 1.5
refuse 'speed' --speed 3 "$golden/cancel.trace"

"$replay" "$golden/cancel.trace" > "$out"
"$replay" - < "$golden/cancel.trace" | cmp - "$out" || failed=$((failed + 1))
SKR_POLICY=best-fit "$replay" "$golden/reclaim.trace" > "$out"
"$replay" --policy best-fit "$golden/reclaim.trace" | cmp - "$out" \
  || failed=$((failed + 1))
printf '%d failures\n' "$failed"
[ "$failed" -eq 0 ]
