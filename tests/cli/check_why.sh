#!/bin/sh
# skr why must say in words which account was ahead of a job and why; else an
# operator has to know the event's fields.
set -u
cd "$(dirname "$0")/../.."
skr=${BIN:-bin}/skr
dir=$(mktemp -d)
failed=0
trap 'rm -rf "$dir"' EXIT

id=00000000000000a1
cat > "$dir/log" << EOF
{"at":1000,"program":"skr-batch","event":558,"name":"passed-over","id":"$id","step":0,"account":"large","share_permille":605,"entitled_permille":143,"waited_ms":1200,"ahead":"00000000000000b2","ahead_account":"small","ahead_share_permille":52,"ahead_entitled_permille":143,"ahead_slack_ms":1500,"ahead_wait_ms":4300}
{"at":2000,"program":"skr-batch","event":558,"name":"passed-over","id":"00000000000000ff","step":0,"account":"other"}
EOF
"$skr" why $id "$dir/log" > "$dir/out" || failed=1
for text in "account large uses 60.5 % of the fleet" "entitled to 14.3 %" \
    "00000000000000b2 of account small" "start within 1.5 s" "4.3 s"; do
  grep -qF "$text" "$dir/out" && continue
  echo "FAIL no \"$text\""
  cat "$dir/out"
  failed=1
done
grep -q other "$dir/out" && { echo "FAIL another job's line"; failed=1; }
exit "$failed"
