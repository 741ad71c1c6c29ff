#!/usr/bin/env bash
# The scenarios of tests/failures about calls whose verdict is reproducible.
cd "$(dirname "$0")/../.." || exit 1
tests/failures kill_before_claim kill_after_dispatch double_fault \
  same_key_twice store_lossy worker_killed sigterm
