#!/bin/bash
# Compares the output of the demo with a golden file, byte for byte.  The demo
# masks the names and times that differ from run to run.
set -eu
out=$(mktemp)
tests/demo > "$out"
diff tests/golden/demo.txt "$out"
rm -f "$out"
