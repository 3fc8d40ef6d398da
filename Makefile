VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SEED ?= 1
MINUTES ?= 5
SEEDS ?= 10
STAMP := $(VENV)/.installed

.PHONY: all setup test lint format schema binary demo demo-platform bench bench-policy bench-membership bench-limits bench-datapath bench-forwarding bench-replay measures fuzz soak soak-defects test-mutants clean

all: lint test

setup: $(STAMP)

$(STAMP): requirements/dev.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements/dev.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

test: setup
	$(BIN)/python tests/run.py

lint: setup
	$(BIN)/ruff format --check src tests tools platform
	$(BIN)/ruff check src tests tools platform
	$(BIN)/flake8 src platform
	$(BIN)/mypy
	MYPYPATH=src:platform $(BIN)/mypy --strict --config-file pyproject.toml platform/main.py platform/check.py
	$(BIN)/lint-imports

format: setup
	$(BIN)/ruff format src tests tools platform
	$(BIN)/ruff check --fix src tests tools platform

schema: setup
	$(BIN)/python -m grpc_tools.protoc -I schema --python_out=src --grpclib_python_out=src --mypy_out=src \
	  --plugin=protoc-gen-grpclib_python=$(BIN)/protoc-gen-grpclib_python \
	  --plugin=protoc-gen-mypy=$(BIN)/protoc-gen-mypy \
	  cardamomtiller/wire.proto cardamomtiller/peer.proto cardamomtiller/settings.proto cardamomtiller/document.proto
	rm -f src/cardamomtiller/wire_grpc.py src/cardamomtiller/settings_grpc.py src/cardamomtiller/document_grpc.py

binary: setup
	$(BIN)/python tools/build_binary.py

demo: setup
	$(BIN)/python -m tools.demo

demo-platform: setup
	$(BIN)/python -m tools.packet_demo

soak: setup
	$(BIN)/python -m tools.packet_soak --seed $(SEED) --seeds $(SEEDS)

soak-defects: setup
	$(BIN)/python -m tools.packet_soak --seed $(SEED) --defects

fuzz: setup
	$(BIN)/python -m tools.fuzz --seed $(SEED) --minutes $(MINUTES)

test-mutants: setup
	$(BIN)/python -m tools.mutants

bench: bench-policy bench-membership bench-limits bench-datapath bench-forwarding bench-replay

bench-policy: setup
	$(BIN)/python -m tools.bench_policy

bench-membership: setup
	$(BIN)/python -m tools.bench_membership

bench-limits: setup
	$(BIN)/python -m tools.bench_limits

bench-datapath: setup
	$(BIN)/python -m tools.bench_datapath

bench-forwarding: setup
	$(BIN)/python -m tools.bench_forwarding

bench-replay: setup
	$(BIN)/python -m tools.forwarding_replay
	$(BIN)/python -m tools.evenness_replay

measures: setup
	$(BIN)/python -m tools.measures

clean:
	rm -rf build
