# Development tasks. CI runs `make platform` and `make check`; `make trial` streams a response.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup check format lint types test trial binary bench capacity generate platform soak clean

SEED ?= 1
SEEDS ?= 1
SECONDS ?= 15

setup: $(VENV)/.installed

$(VENV)/.installed: requirements/runtime.txt requirements/tools.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements/dev.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-build-isolation --no-deps -e .
	touch $@

check: lint types test

format: setup
	$(BIN)/black --quiet src tests bench examples soak tools
	$(BIN)/ruff check --quiet --fix src tests bench examples soak tools

lint: setup
	$(BIN)/black --quiet --check src tests bench examples soak tools
	$(BIN)/ruff check --quiet src tests bench examples soak tools

types: setup
	$(BIN)/mypy

test: setup
	$(BIN)/python -m tests.run

trial: setup
	sh examples/trial.sh

platform:
	sh deploy/build.sh
	PYTHONPATH=target/deps $(PYTHON) -m pearshed gateway --help > /dev/null
	PYTHONPATH=target/deps $(PYTHON) -m pearshed engine-side --help > /dev/null

soak: setup
	$(BIN)/python -m soak --seed $(SEED) --seeds $(SEEDS) --seconds $(SECONDS)

binary: setup
	mkdir -p dist
	$(BIN)/python -m tools.build_binary dist/pearshed

bench: setup
	$(BIN)/python -m bench

capacity: setup
	$(BIN)/python -m bench.capacity

generate: setup
	cd src && PATH="$(CURDIR)/$(BIN):$$PATH" ../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. --grpclib_python_out=. pearshed/_internal/peers/peer.proto

clean:
	rm -rf $(VENV) build dist
