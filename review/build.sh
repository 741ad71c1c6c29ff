#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
out=target/review
objects="$out/build/stand/common/serve.o $out/build/libskr.a"
make -s -j4 BUILD=$out/build BIN=$out/bin $objects
packages="apr-1 glib-2.0 popt jansson libxxhash libsodium gsl libcurl libmicrohttpd libzmq msgpack gnutls"
# shellcheck disable=SC2046
for source in review/[1-5]/case.c; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  ${CC:-gcc} -std=c11 -D_GNU_SOURCE -Wall -Wextra -O2 -g -Iinclude -Isrc -I. \
    $(pkg-config --cflags $packages) -o "$out/case-$name" "$source" \
    review/stand/world.c $objects $(pkg-config --libs $packages) -lpthread -lm
done
