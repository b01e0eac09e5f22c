# Each target sets up what it needs; see README.md.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup run demo test format lint types unit soak bench processes

setup: $(STAMP)

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint requirements.lock --editable ".[dev]"
	touch $(STAMP)

run: setup
	$(BIN)/waxwingwell serve embedded

demo: setup
	$(BIN)/waxwingwell demo

test: setup lint types unit

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

types: setup
	$(BIN)/mypy

unit: setup
	$(BIN)/python -m tests

soak: setup
	$(BIN)/python -m tests.soak
	PYTHONPATH=platform $(BIN)/python -m bench.soak --seeds 10
	PYTHONPATH=platform $(BIN)/python -m bench.soak --planned --seeds 10

bench: setup
	$(BIN)/python -m bench

processes: setup
	$(BIN)/python scripts/processes.py
