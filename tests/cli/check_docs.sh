#!/bin/sh
# The settings page and the man pages say what the programs say.
set -eu
out=$(mktemp -d)
docs/mkdocs.sh "$BIN" "$out"
diff docs/SETTINGS.md "$out/docs/SETTINGS.md"
for page in "$out"/man/*.1; do
  diff "man/$(basename "$page")" "$page"
done
rm -rf "$out"
