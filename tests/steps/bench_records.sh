#!/bin/sh
# Measures the commit of one ended task by the size of its job.
set -eu
cd "$(dirname "$0")/../.."
build=${BUILD:-build}
make -s "$build/tests/steps/bench_records"
"$build/tests/steps/bench_records"
