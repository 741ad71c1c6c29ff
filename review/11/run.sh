#!/usr/bin/env bash
# See claim.txt.  Takes about 80 s.
HERE=$(cd "$(dirname "$0")" && pwd)
CASE=11
. "$HERE/../stand-3/vms.sh"
