# Development commands. Each makes the environment first if it is missing.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= tampere
SEEDS ?= 50
STAMP := $(VENV)/.installed

SECONDS ?= 60
SOAKS ?= 1
NODES ?= 3

.PHONY: demo test lint bench simulate prove mutate soak experiment storm clean

$(STAMP): requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python tools/demo.py $(DEPLOYMENT)

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/lint-imports

bench: $(STAMP)
	$(BIN)/python tools/bench.py

simulate: $(STAMP)
	$(BIN)/python tools/simulate.py --seeds $(SEEDS)

prove: $(STAMP)
	$(BIN)/python -m pytest -m prove

mutate: $(STAMP)
	$(BIN)/python tools/mutate.py
	$(BIN)/python tools/mutate_fleet.py

soak: $(STAMP)
	$(BIN)/python -m tests.soak --seconds $(SECONDS) --soaks $(SOAKS) --nodes $(NODES)

experiment: $(STAMP)
	$(BIN)/python tools/experiments.py

storm: $(STAMP)
	$(BIN)/python tools/retry_storm.py

clean:
	rm -rf $(VENV)
