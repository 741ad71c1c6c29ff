#!/bin/sh
# Writes docs/SETTINGS.md and man/*.1 from the programs' own help, so that
# they cannot drift; tests/cli/check_docs.sh compares.
# Usage: docs/mkdocs.sh BINDIR OUTDIR
set -eu
bin=$1
out=$2
programs="skr skr-batch skr-burn skr-entry skr-load skr-replay skr-sched"
mkdir -p "$out/docs" "$out/man"

# One line a setting: name, variable, help.
settings ()
{
  "$bin/$1" --help | awk '
    /^  --(help|version)$/ { exit }
    /^  --/ { split ($1, part, "="); name = part[1]
              value = index ($1, "=") ? "=VALUE" : ""
              var = substr ($2, 2, length ($2) - 2); next }
    /^      / && name { sub (/^ +/, ""); print name value "\t" var "\t" $0
                        name = "" }'
}

{
  printf '# Settings\n\nWritten by docs/mkdocs.sh from the programs themselves.'
  printf ' A flag goes before its\nvariable, and that before the default.'
  printf ' A bad value names itself and its range, and\nthe program exits 2'
  printf ' before it opens a port.\n'
  for p in $programs; do
    [ -x "$bin/$p" ] || continue
    printf '\n## %s\n\n| flag | variable | meaning |\n|---|---|---|\n' "$p"
    settings "$p" | awk -F '\t' '{ gsub (/\|/, "\\|")
      printf "| `%s` | `%s` | %s |\n", $1, $2, $3 }'
  done
} > "$out/docs/SETTINGS.md"

for p in $programs; do
  [ -x "$bin/$p" ] || continue
  {
    printf '.TH %s 1 "" "skylarkramp" "User Commands"\n' \
      "$(echo "$p" | tr a-z A-Z)"
    printf '.SH NAME\n%s \\- %s\n.SH SYNOPSIS\n.B %s\n%s\n' "$p" \
      "$("$bin/$p" --help | sed -n '2{s/\.$//;p;}' | sed 's/-/\\-/g')" "$p" \
      "$("$bin/$p" --help | sed -n "1s/^Usage: $p //p" | sed 's/-/\\-/g')"
    printf '.SH SETTINGS\n'
    settings "$p" | sed 's/-/\\-/g' | awk -F '\t' '{
      printf ".TP\n.B %s\n(%s) %s\n", $1, $2, $3 }'
    printf '.SH SEE ALSO\nThe pages in docs: OPERATORS.md, CALLERS.md.\n'
  } > "$out/man/$p.1"
done
