#!/usr/bin/env bash
# CURVE encryption between the daemons, and rotation of its keys under load.
cd "$(dirname "$0")/../.." || exit 1
tests/failures curve
