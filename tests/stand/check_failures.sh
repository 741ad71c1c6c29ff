#!/usr/bin/env bash
# The scenarios of tests/failures whose verdict is the same each time: calls.
cd "$(dirname "$0")/../.." || exit 1
tests/failures kill_before_claim kill_after_dispatch double_fault \
  same_key_twice store_lossy worker_killed sigterm
