# Shortcuts for CMake.  `make deps` installs the required libraries on Debian.

PACKAGES = curl pkg-config libtalloc-dev libtevent-dev libzmq3-dev libjansson-dev \
	libmicrohttpd-dev libcoap3-dev libmsgpack-dev libglib2.0-dev \
	libcurl4-openssl-dev libxxhash-dev zlib1g-dev
SOURCES = $(shell find include src platform tests bench -name '*.[ch]')

.PHONY: all deps build check check-sanitize demo bench format lint clean

all: build

deps:
	@pkg-config --exists talloc tevent libzmq jansson libmicrohttpd \
	  libcoap-3-notls msgpack glib-2.0 libcurl libxxhash zlib \
	  && command -v curl >/dev/null \
	  || { apt-get update -qq && apt-get install -y -qq $(PACKAGES); }

build:
	@cmake -S . -B build >/dev/null
	@cmake --build build -j 8

check: deps build
	@tests/check.sh build

# Runs the tests under sanitizers: all but the end-to-end tests with ASan and
# UBSan, the tests labelled "threads" with TSan.  SAMPLE=N runs only every Nth
# case of the flow and replica tests, since sanitized builds are slow.  Each
# build has a folder of its own.
check-sanitize: deps
	@cmake -S . -B build-asan -DHS_SANITIZE=address,undefined >/dev/null
	@cmake --build build-asan -j 8
	@SAMPLE=8 tests/check.sh build-asan -LE e2e
	@cmake -S . -B build-tsan -DHS_SANITIZE=thread >/dev/null
	@cmake --build build-tsan -j 8
	@tests/check.sh build-tsan -L threads

demo: deps build
	@examples/demo.sh build

bench: deps build
	@cmake --build build -j 8 --target benches
	@for b in build/bench/bench_*; do echo "# $$b"; $$b || exit 1; done

format:
	@clang-format -i $(SOURCES)

lint:
	@clang-format --dry-run -Werror $(SOURCES)
	@cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
	  --enable=warning,performance,portability --library=gtk \
	  --suppress=missingIncludeSystem -I include -I src -I . src platform tests bench

clean:
	@rm -rf build build-asan build-tsan
