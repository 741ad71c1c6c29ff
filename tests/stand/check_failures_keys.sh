#!/usr/bin/env bash
# CURVE between the daemons and its rotation under load.
cd "$(dirname "$0")/../.." || exit 1
tests/failures curve
