#!/bin/sh
# Guards against reads of memory that is freed or was never set, which the same
# tests without sanitizers need not notice.
# SEED and COUNT choose other drawn runs.
set -u
cd "$(dirname "$0")/../.."
make -s asan-drawn || exit 1
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1
build/asan/tests/steps/test_ended_members || exit 1
COUNT=${COUNT:-40} build/asan/tests/steps/test_deployed
