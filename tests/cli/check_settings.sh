#!/bin/sh
# Every program has --help and --version, and refuses an invalid setting with
# exit code 2 and its name, whether it comes from a flag or a variable.
set -u
failed=0

fail ()
{
  echo "FAIL $*"
  failed=1
}

# bad PROGRAM SETTING VALUE: as a flag, the program must exit with 2 and name
# the setting; as a variable, it must exit with 2.
bad ()
{
  var=SKR_$(echo "$2" | tr a-z- A-Z_)
  text=$("$BIN/$1" "--$2=$3" 2>&1 < /dev/null)
  [ $? -eq 2 ] || fail "$1 --$2=$3 does not exit 2"
  case $text in *"--$2 ($var): \"$3\""*) ;; *) fail "$1: $text" ;; esac
  env "$var=$3" "$BIN/$1" > /dev/null 2>&1 < /dev/null
  [ $? -eq 2 ] || fail "$var=$3 $1 does not exit 2"
}

for p in "$BIN"/skr "$BIN"/skr-*; do
  name=$(basename "$p")
  [ -x "$p" ] || continue
  "$p" --help > /dev/null || fail "$name --help"
  [ "$("$p" --version)" = "$name 0.1.0" ] || fail "$name --version"
  "$p" --no-such-setting > /dev/null 2>&1 < /dev/null
  [ $? -eq 2 ] || fail "$name --no-such-setting does not exit 2"
done
bad skr timeout-ms 0
bad skr timeout-ms 1e3
bad skr-burn every-ms -5
text=$(env SKR_JSON=yes "$BIN/skr-burn" 2>&1 < /dev/null)
[ $? -eq 2 ] || fail "SKR_JSON=yes skr-burn does not exit 2"
case $text in *'--json (SKR_JSON): "yes"'*) ;; *) fail "SKR_JSON: $text" ;; esac
exit "$failed"
