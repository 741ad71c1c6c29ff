#!/usr/bin/env bash
# The counters of skr-load, checked against hand-made journals without any
# entry VM.
cd "$(dirname "$0")/../.." || exit 1
. tests/stand/lib.sh

# load JOURNALS REPEATABLE_PERCENT [ARGS...]: runs skr-load with an entry
# address that refuses connections; nothing listens on port 1.
load ()
{
  local journals=$1 percent=$2
  shift 2
  "$BIN/skr-load" --entries 127.0.0.1:1 --accounts a=k --prefix p --seed 3 \
    --count 2 --rate 1000 --attempts 2 --settle-ms 0 --json \
    --journals "$journals" --repeatable-percent "$percent" "$@" \
    > "$work/load" 2> "$work/load.err"
}
field () { jq -r ".$1" "$work/load"; }
# entry TAG NUMBER: a journal entry of a started call.
entry ()
{
  printf '{"kind":"call","id":"r","tag":"%s","start":1,"number":%s}\n' "$@"
}

entry other 0 > "$work/j1"
load "$work/j1" 0
expect "a request that no entry VM accepted is unsent, not lost" "0 2 0 0" \
  "$? $(field unsent) $(field lost) $(field doubled)"

entry p-3-0 1 >> "$work/j1"
load "$work/j1" 0
expect "a refused key in a journal is a false refusal" "1 1 0" \
  "$? $(field false_refusals) $(field doubled)"

entry p-3-0 0 > "$work/j2"
load "$work/j1,$work/j2" 0
expect "one key in two journals ran twice" "1 1" "$? $(field doubled)"
load "$work/j1,$work/j2" 100
expect "a repeatable request may run twice" 0 "$(field doubled)"
printf '{"number":0,"end":5,"outcome":"done"}\n' >> "$work/j2"
load "$work/j2" 0
expect "an end entry does not count as a start" 0 "$(field doubled)"
load "$work/none" 0
expect "a missing journal is an error" 3 $?

"$BIN/skr-load" --entries 192.0.2.1:80 2> /dev/null
expect "entries outside of loopback are refused" 2 $?
"$BIN/skr-load" --entries 127.0.0.1:1 --journals http://192.0.2.1:80 \
  2> /dev/null
expect "journals outside of loopback are refused" 2 $?
exit "$failed"
