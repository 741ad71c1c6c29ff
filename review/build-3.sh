#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 to review/15 into
# target/review-3/, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
pkgs="glib-2.0 jansson libsodium libcurl libmicrohttpd"
flags="-std=c11 -D_GNU_SOURCE -Wall -Wextra -O2 -g -Iinclude -Isrc -I."
for dir in ${1:-review/1[1-5]}; do
  [ -e "$dir/case.c" ] || continue
  # shellcheck disable=SC2046,SC2086
  cc $flags $(pkg-config --cflags $pkgs) -o "$out/case-$(basename "$dir")" \
    "$dir/case.c" review/stand-3/stand.c stand/common/serve.c \
    target/build/libskr.a $(pkg-config --libs $pkgs apr-1 popt libxxhash gsl \
      libzmq msgpack gnutls) -lpthread -lm
done
