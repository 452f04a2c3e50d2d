# `make demo` and `make test` install all packages that they need on a fresh machine.

BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: packages build demo test unit_test format format_check lint bench clean

packages:
	scripts/install-packages

build: packages
	cmake -S . -B $(BUILD) -G Ninja > /dev/null
	cmake --build $(BUILD) -j $(JOBS)

demo: build
	scripts/demo $(BUILD)

test: build
	cd $(BUILD) && ctest -j 13 --output-on-failure

format:
	git ls-files '*.cpp' '*.h' | xargs clang-format -i

format_check:
	git ls-files '*.cpp' '*.h' | xargs clang-format --dry-run -Werror

lint: build
	scripts/lint $(BUILD)

bench: build
	scripts/bench $(BUILD)

clean:
	rm -rf $(BUILD)
