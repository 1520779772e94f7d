# Thin layer over CMake. `make help` lists the targets.
BUILD ?= build
JOBS ?= $(shell nproc)
SOURCES = $(shell git ls-files -co --exclude-standard 'src/*.[ch]' 'platform/*.[ch]' 'test/*.[ch]' 'test/*.cc' 'tools/*.[ch]' 'tools/*.cc')
C_SOURCES = $(shell git ls-files -co --exclude-standard 'src/*.c' 'platform/*.c')

.PHONY: all setup build test test-asan lint format fuzz soak demo demo-up replay bench capacity plots lab install clean help

all: build

help:
	@echo "build test test-asan lint format fuzz soak demo demo-up replay bench capacity lab install clean"

setup:
	@./tools/setup

$(BUILD)/build.ninja: CMakeLists.txt test/CMakeLists.txt tools/CMakeLists.txt
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo -DKB_WERROR=ON > /dev/null

build: setup $(BUILD)/build.ninja
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@cd $(BUILD) && ctest --output-on-failure -j 4 --timeout 300

test-asan: setup
	@cmake -S . -B build-asan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DKB_SANITIZE=ON > /dev/null
	@cmake --build build-asan -j $(JOBS)
	@cd build-asan && ctest --output-on-failure -j 4 --timeout 600

format:
	@clang-format -i $(SOURCES)

lint: build
	@clang-format --dry-run --Werror $(SOURCES)
	@./tools/check-layers
	@printf '%s\n' $(C_SOURCES) | xargs -P $(JOBS) -n 2 clang-tidy -p $(BUILD) --quiet --extra-arg=-Wno-unknown-warning-option 2> /dev/null

fuzz: setup
	@cmake -S . -B build-fuzz -G Ninja -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ -DKB_FUZZ=ON > /dev/null
	@cmake --build build-fuzz -j $(JOBS) --target fuzz_msg fuzz_settings fuzz_platform fuzz_page fuzz_lists
	@mkdir -p build-fuzz/corpus-msg build-fuzz/corpus-settings build-fuzz/corpus-platform build-fuzz/corpus-page build-fuzz/corpus-lists
	@./build-fuzz/bin/fuzz_msg -seed=1 -runs=200000 -max_len=512 build-fuzz/corpus-msg test/fuzz/corpus-msg
	@./build-fuzz/bin/fuzz_settings -seed=1 -runs=100000 -max_len=512 build-fuzz/corpus-settings test/fuzz/corpus-settings
	@./build-fuzz/bin/fuzz_platform -seed=1 -runs=100000 -max_len=1024 build-fuzz/corpus-platform test/fuzz/corpus-platform
	@./build-fuzz/bin/fuzz_lists -seed=1 -runs=100000 -max_len=4096 build-fuzz/corpus-lists test/fuzz/corpus-lists
	@./build-fuzz/bin/fuzz_page -seed=1 -runs=100000 -max_len=2048 build-fuzz/corpus-page test/fuzz/corpus-page

# Seeds 1 to SEEDS, or FIRST to SEEDS, each with SECONDS of faults.
FIRST ?= 1
SEEDS ?= 50
SECONDS ?= 6
ENGINES ?= 3
soak: build
	@KB_SOAK_SEEDS=$(FIRST)-$(SEEDS) KB_SOAK_S=$(SECONDS) KB_SOAK_ENGINES=$(ENGINES) \
	  $(BUILD)/bin/soak_test --gtest_filter=Soak.PromisesHoldUnderFaults

demo: build
	@$(BUILD)/bin/kbdemo

demo-up: build
	@$(BUILD)/bin/kbdemo --stay

replay: build
	@$(BUILD)/bin/kbreplay --json $(BUILD)/replay.json

# Drawn deployments through the decisions; AGAINST= compares with another
# build's build/lab.json, tools/plot-load draws both.
LAB_SEEDS ?= 8
lab: build
	@$(BUILD)/bin/kblab --seeds $(LAB_SEEDS) --json $(BUILD)/lab.json $(if $(AGAINST),--against $(AGAINST))

bench: build
	@$(BUILD)/bin/kbbench --json $(BUILD)/bench.json

capacity: bench
	@$(BUILD)/bin/kbfleet --json $(BUILD)/fleet.json
	@./tools/capacity $(BUILD)/bench.json $(BUILD)/fleet.json docs/CAPACITY.md

plots: replay
	@./tools/plots $(BUILD)

install: build
	@cmake --install $(BUILD)

clean:
	@rm -rf build build-asan build-fuzz
