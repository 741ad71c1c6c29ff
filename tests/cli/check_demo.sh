#!/bin/bash
# What callers and operators see in the demo, byte for byte but for names that
# differ from run to run.
set -eu
out=$(mktemp)
tests/demo > "$out"
diff tests/golden/demo.txt "$out"
rm -f "$out"
