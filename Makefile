# gypsumvalve: `make demo` and `make check` work on a fresh machine as root.

CC ?= gcc
PKGS = liburcu-bp msgpack libmicrohttpd neon glib-2.0 log4c yaml-0.1 \
       json-glib-1.0 libxxhash
DEBS = gcc clang clang-format clang-tidy cppcheck make pkg-config curl \
       python3 python3-hypothesis liburcu-dev libmsgpack-dev \
       libmicrohttpd-dev libneon27-dev libglib2.0-dev libjson-glib-dev \
       liblog4c-dev libyaml-dev libxxhash-dev libhttp-parser-dev libclang-rt-14-dev gnuplot-nox

B ?= build
WARN = -Wall -Wextra -Werror
CFLAGS ?= -O2 -g
ALL_CFLAGS = -std=c11 -D_GNU_SOURCE -fPIC $(WARN) $(CFLAGS) $(SAN) \
             -iquote src $(shell pkg-config --cflags $(PKGS))
LIBS = $(shell pkg-config --libs $(PKGS)) -pthread -lm

# The library leaves out sources with a main function or operator commands.
MAINS = $(wildcard src/gventryd.c src/gypsumvalve.c src/standin_*.c)
PROGS = $(subst _,-,$(MAINS:src/%.c=%))
CMDS = $(wildcard src/cmd_*.c)
LIBSRC = $(filter-out $(MAINS) $(CMDS),$(wildcard src/*.c))
LIBOBJ = $(LIBSRC:src/%.c=$(B)/%.o)
CMDOBJ = $(CMDS:src/%.c=$(B)/%.o)
LIB = $(B)/libgypsumvalve.a
# Plug-ins register themselves in constructors, so that no symbol refers to
# them: the whole archive has to be linked.
WHOLE = -Wl,--whole-archive $(LIB) -Wl,--no-whole-archive

TESTSRC = $(wildcard tests/*.c)
TESTS = $(patsubst tests/%.c,$(B)/tests/%,$(wildcard tests/test_*.c)) \
        $(B)/tests/script $(B)/tests/test_embed
SCRIPTSRC = $(wildcard tests/script*.c)

# Installed headers: gypsumvalve.h and those that it includes.
PUBLIC = gypsumvalve.h burn.h error.h estimate.h ledger.h limits.h once.h \
         outcome.h pack.h placement.h queue.h record.h registry.h reserve.h \
         retry.h settings.h slots.h str.h ticket.h wave.h

.PHONY: fuzzers soak all tests mutants packages check lint format demo bench fuzz fuzz-run asan tsan clean install
all: $(PROGS:%=$(B)/%) $(B)/libgypsumvalve.so $(B)/gvschedd

packages:
	@dpkg -s $(DEBS) >/dev/null 2>&1 || \
	    { apt-get update -qq && apt-get install -y -qq $(DEBS); } >/dev/null

$(B)/%.o: src/%.c | $(B)
	$(CC) $(ALL_CFLAGS) -MMD -MP -c $< -o $@

$(LIB): $(LIBOBJ)
	rm -f $@ && ar rcs $@ $^

$(B)/libgypsumvalve.so: $(LIBOBJ)
	$(CC) $(SAN) -shared $^ -o $@ $(LIBS)

$(B)/gventryd: $(B)/gventryd.o $(LIB)
	$(CC) $(SAN) $< $(WHOLE) -o $@ $(LIBS)

# gvschedd, the adapter to the users' platform.
ADAPTERSRC = $(wildcard platform/*.c)
ADAPTEROBJ = $(ADAPTERSRC:platform/%.c=$(B)/platform/%.o)
ADAPTER_FLAGS = -iquote platform
ADAPTER_LIBS = -lhttp_parser

$(B)/platform/%.o: platform/%.c | $(B)/platform
	$(CC) $(ALL_CFLAGS) $(ADAPTER_FLAGS) -MMD -MP -c $< -o $@

$(B)/gvschedd: $(ADAPTEROBJ) $(LIB)
	$(CC) $(SAN) $(ADAPTEROBJ) $(LIB) -o $@ $(LIBS) $(ADAPTER_LIBS)

$(B)/gypsumvalve: $(B)/gypsumvalve.o $(CMDOBJ) $(LIB)
	$(CC) $(SAN) $< $(CMDOBJ) $(WHOLE) -o $@ $(LIBS)

$(B)/standin-%: $(B)/standin_%.o $(LIB)
	$(CC) $(SAN) $< $(WHOLE) -o $@ $(LIBS)

$(B)/tests/%: tests/%.c $(LIB) | $(B)/tests
	$(CC) $(ALL_CFLAGS) -MMD -MP $< $(WHOLE) -o $@ $(LIBS)

$(B)/tests/fuzz_%: tests/fuzz_%.c $(LIB) | $(B)/tests
	$(CC) $(ALL_CFLAGS) -fsanitize=fuzzer -MMD -MP $< $(WHOLE) -o $@ $(LIBS)

# Only the adapter's parsers, without its clients and servers.
READERS = platform/decode.c platform/decode_accounts.c platform/pages.c platform/wire.c
$(B)/tests/fuzz_decode: tests/fuzz_decode.c $(READERS) $(LIB) | $(B)/tests
	$(CC) $(ALL_CFLAGS) $(ADAPTER_FLAGS) -fsanitize=fuzzer $< $(READERS) \
	    $(WHOLE) -o $@ $(LIBS)

CLIENT = $(patsubst %,$(B)/platform/%.o,calls connection response)
$(B)/tests/test_calls: tests/test_calls.c $(CLIENT) $(LIB) | $(B)/tests
	$(CC) $(ALL_CFLAGS) $(ADAPTER_FLAGS) -MMD -MP $< $(CLIENT) $(WHOLE) \
	    -o $@ $(LIBS) $(ADAPTER_LIBS)

$(B)/tests/test_decode $(B)/tests/test_decode_accounts: $(B)/tests/%: tests/%.c $(READERS) $(LIB) | $(B)/tests
	$(CC) $(ALL_CFLAGS) $(ADAPTER_FLAGS) $< $(READERS) $(WHOLE) -o $@ \
	    $(LIBS)

# The example of an embedding program is built and run with the tests.
$(B)/tests/test_embed: examples/embed.c $(LIB) | $(B)/tests
	$(CC) $(ALL_CFLAGS) $< $(WHOLE) -o $@ $(LIBS)

$(B)/tests/script: $(SCRIPTSRC) tests/script.h $(LIB) | $(B)/tests
	$(CC) $(ALL_CFLAGS) $(SCRIPTSRC) $(WHOLE) -o $@ $(LIBS)

$(B)/bench: $(wildcard bench/*.c) $(wildcard bench/*.h) $(LIB) | $(B)
	$(CC) $(ALL_CFLAGS) $(wildcard bench/*.c) $(WHOLE) -o $@ $(LIBS)

$(B) $(B)/tests $(B)/platform:
	mkdir -p $@

tests: $(TESTS)

# Checks that the tests fail for each mutant of the code in tests/mutants.txt.
mutants: packages
	python3 tests/mutants.py

# Runs COUNT seeds from SEED on; tests/soak/seeds.txt has those that failed.
SEED ?= 1
COUNT ?= 1
soak: packages
	@$(MAKE) --no-print-directory all
	@python3 tests/soak/soak.py --build $(B) --seed $(SEED) --count $(COUNT)

check: packages
	@$(MAKE) --no-print-directory -j8 all $(TESTS)
	@$(MAKE) --no-print-directory -j8 fuzzers $(FUZZ_ARGS)
	@python3 tests/run.py --build $(B)

lint: packages
	clang-format --dry-run -Werror $(wildcard src/*.[ch]) $(wildcard tests/*.[ch]) \
	    $(wildcard platform/*.[ch]) \
	    $(wildcard examples/*.c) \
	    $(wildcard bench/*.[ch])
	printf '%s\n' $(wildcard src/*.c) $(TESTSRC) $(wildcard bench/*.c) | \
	    xargs -P 8 -n 4 sh -c 'clang-tidy --quiet "$$@" -- $(ALL_CFLAGS) \
	    -iquote platform 2>/dev/null' lint
	printf '%s\n' $(ADAPTERSRC) | \
	    xargs -P 8 -n 4 sh -c 'clang-tidy --quiet "$$@" -- $(ALL_CFLAGS) \
	    $(ADAPTER_FLAGS) 2>/dev/null' lint
	python3 tests/mutants.py --check

format:
	clang-format -i $(wildcard src/*.[ch]) $(wildcard platform/*.[ch]) $(TESTSRC) $(wildcard bench/*.[ch])

demo: packages
	@$(MAKE) --no-print-directory all
	@bash examples/demo.sh $(B)

bench: packages
	@$(MAKE) --no-print-directory all $(B)/bench
	$(B)/bench $(B) bench/results.tsv
	cd $(B) && gnuplot -e "out='$(CURDIR)/bench'" $(CURDIR)/bench/plots.gp
	@python3 bench/processes.py --build $(B)

asan: packages
	@$(MAKE) --no-print-directory check B=build/asan CFLAGS='-O1 -g' \
	    SAN='-fsanitize=address,undefined -fno-sanitize-recover=undefined'

# GLib's slice allocator passes memory between threads under locks that the
# sanitizer does not see, which would give false reports.
tsan: packages
	@G_SLICE=always-malloc $(MAKE) --no-print-directory check B=build/tsan CC=clang \
	    CFLAGS='-O1 -g' SAN=-fsanitize=thread

# Fixed seeds and run counts make a run repeatable. Stops at the first fuzzer
# that fails and shows the end of its log.
FUZZERS = $(patsubst tests/%.c,$(B)/tests/%,$(wildcard tests/fuzz_*.c))
FUZZ_RUNS ?= 20000
FUZZ_ARGS = B=build/fuzz CC=clang CFLAGS='-O1 -g' \
            SAN='-fsanitize=fuzzer-no-link,address,undefined \
            -fno-sanitize-recover=undefined'
fuzz: packages
	@$(MAKE) --no-print-directory fuzz-run $(FUZZ_ARGS)

fuzzers: $(FUZZERS)

fuzz-run: $(FUZZERS)
	@for f in $(FUZZERS); do echo "$$f: $(FUZZ_RUNS) runs"; \
	    $$f -seed=1 -runs=$(FUZZ_RUNS) -max_len=4096 -timeout=10 \
	    -artifact_prefix=$(B)/ >$$f.log 2>&1 || \
	    { tail -40 $$f.log; exit 1; }; done

install: all
	install -D -m 755 -t $(DESTDIR)/usr/sbin $(B)/gventryd
	install -D -m 755 -t $(DESTDIR)/usr/bin $(B)/gypsumvalve
	install -D -m 644 -t $(DESTDIR)/usr/lib $(B)/libgypsumvalve.so
	install -D -m 644 -t $(DESTDIR)/usr/include/gypsumvalve $(PUBLIC:%=src/%)

clean:
	rm -rf build

-include $(wildcard $(B)/*.d) $(wildcard $(B)/tests/*.d) \
         $(wildcard $(B)/platform/*.d)
