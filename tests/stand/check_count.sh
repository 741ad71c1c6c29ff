#!/usr/bin/env bash
# Guards against an skr-load that overlooks double execution.  The table is
# restored to a snapshot without the claims between two runs of the same keys,
# so every call runs twice, and skr-load must report it.
cd "$(dirname "$0")/../.." || exit 1
. tests/stand/lib.sh
. tests/stand/cluster.sh

cluster 2 6 || exit 1
patient='--deadline-ms 60000 --settle-ms 60000'
post "${ADDR[platform]}" /v1/admin/snapshot '' > /dev/null
load --count 20 --rate 100 $patient --repeatable-percent 0 --prefix twice
expect "20 calls run once" "0 20 0" "$? $(count done) $(count doubled)"
load --count 20 --rate 100 $patient --repeatable-percent 0 --prefix twice
expect "the same keys are not run again" "0 20 0" \
  "$? $(count done) $(count doubled)"
post "${ADDR[platform]}" /v1/admin/restore '' > /dev/null
load --count 20 --rate 100 $patient --repeatable-percent 0 --prefix twice
expect "without their claims they run again and are counted" "1 20 20" \
  "$? $(count done) $(count doubled)"
: > "$work/journal.none"
journals=$work/journal.none
load --count 20 --rate 100 $patient --repeatable-percent 0 --prefix twice
expect "an answer that no journal confirms counts as lost" "20 20" \
  "$(count done) $(count lost)"
exit "$failed"
