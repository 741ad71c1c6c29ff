#!/bin/sh
# Builds the stand-ins and cases of the second review into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out/bin"
make -s -j4 BUILD=$out/build BIN=$out/bin \
  $(for f in platform/stand/*.c stand/common/*.c tests/soak/proxy.c; do
      echo "$out/build/${f%.c}.o"; done) \
  $(for f in platform/*.c; do echo "$out/build/${f%.c}.o"; done) \
  $out/build/libskr.a
packages="apr-1 glib-2.0 popt jansson libxxhash libsodium gsl libcurl
  libmicrohttpd libzmq msgpack gnutls"
# shellcheck disable=SC2046,SC2086
for f in review/stand-2/*.c; do
  name=$(basename "$f" .c)
  [ "$name" = play ] && continue
  ${CC:-gcc} -std=c11 -D_GNU_SOURCE -Wall -Wextra -O2 -g -Iinclude -Isrc -I. \
    -Ireview/stand-2 $(pkg-config --cflags $packages) \
    -o "$out/bin/$name" "$f" review/stand-2/play.c \
    $out/build/platform/stand/*.o $out/build/stand/common/*.o \
    $out/build/tests/soak/proxy.o $out/build/platform/*.o \
    $out/build/libskr.a $(pkg-config --libs $packages) -lpthread -lm
done
