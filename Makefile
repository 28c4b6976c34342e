# Development entry points; every target sets up what it needs.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
PACKAGES = base policy rules http wire platform fleet router agent standins direct
EDITABLE = $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
CASE ?= overhead
SEED ?= 1
STEPS ?= 200
JSON ?=
DOCS ?=
KEEP ?=

.PHONY: setup test lint format demo platform-demo bench fuzz wire

setup: $(VENV)/.ready

$(VENV)/.ready: constraints.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt setuptools wheel
	$(BIN)/pip install -q -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation $(EDITABLE)
	$(BIN)/python -m compileall -q packages
	touch $(VENV)/.ready

test: setup
	$(BIN)/python tests/run.py

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports --no-cache

format: setup
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

demo: setup
	$(BIN)/python tools/demo.py $(if $(KEEP),--keep)

platform-demo: setup
	$(BIN)/python -m pulley_platform_standins.demo

bench: setup
	$(BIN)/python tools/load.py $(CASE) --seed $(SEED) $(if $(JSON),--json $(JSON)) \
	  $(if $(DOCS),--docs)

fuzz: setup
	$(BIN)/python tests/fuzz.py --seed $(SEED) --steps $(STEPS)

wire:
	thrift --gen py:slots,package_prefix=pulley_wire.gen. \
	  -out packages/wire/src/pulley_wire/gen packages/wire/wire.thrift
