#!/bin/sh
# The settings page and the man pages must match the help texts of the
# programs, and every source file that a page names must exist.
set -eu
out=$(mktemp -d)
docs/mkdocs.sh "$BIN" "$out"
diff docs/SETTINGS.md "$out/docs/SETTINGS.md"
for page in "$out"/man/*.1; do
  diff "man/$(basename "$page")" "$page"
done
rm -rf "$out"

missing=0
for file in $(grep -hoE \
    '\b(src|include|platform|stand|tests)/[A-Za-z0-9_/]+\.(c|h|sh)\b' \
    docs/*.md README.md KNOWN-RED.txt | sort -u); do
  [ -e "$file" ] && continue
  echo "no such file: $file"
  missing=1
done
exit "$missing"
