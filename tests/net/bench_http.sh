#!/bin/sh
# Measures the processor time of a request by the number of long polls in
# progress.
set -eu
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
make -s "$build/tests/net/bench_http"
"$build/tests/net/bench_http"
