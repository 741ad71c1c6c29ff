# Each folder of src/ named in LIBS goes into one archive; each folder named
# in PROGS or STANDS is a program; each tests/*/test_*.c is a CUnit program.

LIBS = base decide headroom share steps speed queue trace net table config \
       control filter access domains
PROGS = entry sched batch cli replay load burn
STANDS = platform worker

PREFIX ?= /usr/local
BUILD ?= build
BIN ?= bin
CC ?= gcc
OPT ?= -O2 -g
SAN ?=
PKGS = apr-1 glib-2.0 popt jansson libxxhash libsodium gsl libcurl \
       libmicrohttpd libzmq msgpack gnutls
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null | sed 's/-I/-isystem /g')
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null)
CFLAGS_ALL = -std=c11 -D_GNU_SOURCE -Wall -Wextra -Werror -Wshadow \
  -Wstrict-prototypes -Wmissing-prototypes -Wno-missing-field-initializers \
  -fno-omit-frame-pointer $(OPT) $(SAN) -Iinclude -Isrc -I. -Itests $(PKG_CFLAGS) $(CFLAGS)
LIBS_ALL = $(PKG_LIBS) -lpthread -lm

LIB_SRC := $(foreach d,$(LIBS),$(wildcard src/$d/*.c))
LIB_OBJ := $(LIB_SRC:%.c=$(BUILD)/%.o)
# The adapter to the users' platform; skr-batch links it.
PORT_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard platform/*.c))
# skr-batch without its main, for tests.
BATCH_LIB = $(BUILD)/libbatch.a
BATCH_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(filter-out %/main.c,$(wildcard src/batch/*.c)))
LIB = $(BUILD)/libskr.a
name_cli = skr
prog_name = $(or $(name_$1),skr-$1)
PROG_DIRS := $(foreach p,$(PROGS),$(if $(wildcard src/$p/*.c),$p))
STAND_DIRS := $(foreach p,$(STANDS),$(if $(wildcard stand/$p/*.c),$p))
PROG_BIN := $(foreach p,$(PROG_DIRS),$(BIN)/$(call prog_name,$p))
STAND_BIN := $(STAND_DIRS:%=$(BIN)/skr-%)
TEST_SRC := $(wildcard tests/*/test_*.c)
TEST_BIN := $(TEST_SRC:tests/%.c=$(BUILD)/tests/%)
SCRIPTS := $(sort $(wildcard tests/*/check_*.sh))
C_FILES := $(shell find include src platform stand tests -name '*.[ch]' 2>/dev/null)
C_UNITS := $(filter %.c,$(C_FILES))

all: $(PROG_BIN) $(STAND_BIN)

deps:
	@.ci/install

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(CFLAGS_ALL) -MMD -MP -c $< -o $@

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(BATCH_LIB): $(BATCH_OBJ) $(PORT_OBJ)
	@rm -f $@
	ar rcs $@ $^

define program
$(BIN)/$1: $(patsubst %.c,$(BUILD)/%.o,$(wildcard $(addsuffix /*.c,$2))) $(LIB)
	@mkdir -p $(BIN)
	$$(CC) $$(SAN) -o $$@ $$(filter %.o,$$^) $(LIB) $$(LIBS_ALL)
endef
$(foreach p,$(PROG_DIRS),$(eval $(call program,$(call prog_name,$p),src/$p)))
$(BIN)/skr-batch: $(PORT_OBJ)
# The debug information of crashed programs; no other program needs it.
$(BIN)/skr $(BUILD)/tests/cli/test_exchange: \
  LIBS_ALL += $(shell pkg-config --libs libdw 2>/dev/null)
$(foreach p,$(STAND_DIRS),$(eval $(call program,skr-$p,stand/$p stand/common)))

# Each fake_*.c of a test folder is linked into every test of that folder.
.SECONDEXPANSION:
$(BUILD)/tests/%: $(BUILD)/tests/%.o \
    $$(addprefix $(BUILD)/,$$(addsuffix .o,$$(basename \
      $$(wildcard tests/$$(*D)/fake_*.c)))) $(BATCH_LIB) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SAN) -o $@ $(filter %.o,$^) $(BATCH_LIB) $(LIB) $(LIBS_ALL) -lcunit

# skr-batch that ends when it decides on a job with this payload.
abort-bin:
	@$(MAKE) -s -j$(shell nproc) BUILD=build/abort BIN=build/abort/bin \
	  CFLAGS='-DSKR_ABORT_PAYLOAD=\"abort\"' build/abort/bin/skr-batch

# The outside check of skr-replay's actions.
VERIFY := $(BUILD)/tests/replay/verify
$(VERIFY): $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/replay/verify*.c))
	@mkdir -p $(@D)
	$(CC) $(SAN) -o $@ $^ $(LIBS_ALL)

# The fault soak; its stand-in of the platform speaks the platform's protocol.
FARM_OBJ := $(patsubst %.c,$(BUILD)/%.o,$(wildcard platform/stand/*.c)) \
  $(patsubst %.c,$(BUILD)/%.o,$(wildcard stand/common/*.c))
SOAK := $(BUILD)/tests/soak/soak
SOAK_SRC := $(filter-out tests/soak/test_%,$(wildcard tests/soak/*.c))
$(SOAK): $(SOAK_SRC:%.c=$(BUILD)/%.o) $(FARM_OBJ) $(PORT_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CC) $(SAN) -o $@ $(filter %.o,$^) $(LIB) $(LIBS_ALL)
$(BUILD)/tests/soak/test_job_model: $(BUILD)/tests/soak/job_model.o $(FARM_OBJ)
$(BUILD)/tests/platform/test_bodies $(BUILD)/tests/platform/test_grey: $(FARM_OBJ)
$(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/crowds/test_*.c)): $(FARM_OBJ)
$(BUILD)/tests/sched/test_suspension: $(patsubst %.c,$(BUILD)/%.o,\
  $(filter-out %/main.c,$(wildcard src/sched/*.c)))
$(BUILD)/tests/cli/test_exchange: $(patsubst %.c,$(BUILD)/%.o,\
  $(filter-out %/main.c,$(wildcard src/cli/*.c)))

build-tests: $(TEST_BIN) $(VERIFY) $(SOAK)

check: deps
	@$(MAKE) -s -j$(shell nproc) all build-tests
	@tests/run $(TEST_BIN) $(SCRIPTS)

demo: deps
	@$(MAKE) -s -j$(shell nproc) all
	@tests/demo

# A resident size means nothing under sanitizers.
ASAN_SRC := $(filter-out tests/crowds/test_crowd_memory.c \
  tests/crowds/test_crowd_entry.c,$(TEST_SRC))
ASAN_MAKE = $(MAKE) -j$(shell nproc) BUILD=build/asan BIN=build/asan/bin \
  SAN='-fsanitize=address,undefined'
asan:
	$(ASAN_MAKE) all build-tests
	UBSAN_OPTIONS=halt_on_error=1 BIN=build/asan/bin \
	  tests/run $(ASAN_SRC:tests/%.c=build/asan/tests/%)

# The drawn runs; tests/steps/check_deployed.sh runs them.
asan-drawn:
	@$(ASAN_MAKE) -s build/asan/tests/steps/test_deployed \
	  build/asan/tests/steps/test_ended_members

# Programs of tests/fuzz, by libFuzzer; tests/fuzz/check_fuzz.sh runs them.
FUZZ_BIN := $(patsubst %.c,$(BUILD)/%,$(wildcard tests/fuzz/fuzz_*.c))
$(BUILD)/tests/fuzz/fuzz_%: $(BUILD)/tests/fuzz/fuzz_%.o $(LIB)
	$(CC) $(SAN) -fsanitize=fuzzer -o $@ $^ $(LIBS_ALL)

fuzz-bins: $(FUZZ_BIN)

fuzz:
	$(MAKE) CC=clang BUILD=build/fuzz OPT='-O1 -g' \
	  SAN='-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined' fuzz-bins

# Each bench_*.c of a test folder is a program that bench_*.sh scripts run.
BENCH_BIN := $(patsubst tests/%.c,$(BUILD)/tests/%,$(wildcard tests/*/bench_*.c))
bench-bins: $(BENCH_BIN)

bench: all bench-bins
	@tests/bench

format:
	@clang-format -i $(C_FILES)

format-check:
	@clang-format --dry-run -Werror $(C_FILES)

# A unit is checked again only when it or a header has changed.
TIDY := $(C_UNITS:%.c=$(BUILD)/tidy/%.ok)
$(BUILD)/tidy/%.ok: %.c .clang-tidy $(filter %.h,$(C_FILES))
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- $(filter-out -Werror,$(CFLAGS_ALL)) 2>$@.err \
	  || { cat $@.err; exit 1; }
	@touch $@

lint:
	@$(MAKE) -s -k -j$(shell nproc) tidy
tidy: $(TIDY)

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/share/man/man1
	install -m 755 $(PROG_BIN) $(DESTDIR)$(PREFIX)/bin
	$(foreach m,$(wildcard man/*.1),install -m 644 $(m) $(DESTDIR)$(PREFIX)/share/man/man1;)

clean:
	rm -rf $(BUILD) $(BIN)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.PHONY: all deps build-tests check demo asan asan-drawn abort-bin fuzz fuzz-bins \
  bench bench-bins format format-check lint \
  tidy install clean
.SECONDARY:
