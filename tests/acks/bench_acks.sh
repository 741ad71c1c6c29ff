#!/bin/sh
# Measures what acknowledgements of ends cost the holder of a full fleet.
set -eu
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
make -s "$build/tests/acks/bench_acks"
"$build/tests/acks/bench_acks"
