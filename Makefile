# Two commands set everything up: `make demo` and `make test`.
PYTHON ?= python3
BIN := .venv/bin
PACKAGES := core net wire platform entry cli standin cells daemon
EDITABLE := $(foreach package,$(PACKAGES),-e packages/thymefork-$(package)) -e platform -e soak

.PHONY: demo test lint bench setup

setup: .venv/ready

.venv/ready: constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml soak/pyproject.toml
	command -v $(PYTHON) >/dev/null || (apt-get update -qq && apt-get install -y -qq python3 python3-venv)
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet -c constraints.txt setuptools wheel -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $@

demo: setup
	$(BIN)/python -m thymefork_standin.demo examples/libraries.json

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: setup lint
	$(BIN)/python tools/run_tests.py

bench: setup
	$(BIN)/python -m bench
