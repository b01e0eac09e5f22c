# Each target sets up what it needs; see README.md.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

# Users' deployments that `make regression` scores for each landing: paths of site files
# below the folder PLATFORM_SITES, without .toml. PLATFORM_BENCH is the path of their
# bench; both must be set.
REGRESSION_SITES := large/entoto-fit-large further/kwahu-birds \
	further-grown/kwahu-birds-grown grown/entoto-fit-grown grown/papa-frio-grown

.PHONY: setup run demo test format lint types unit soak bench processes regression

setup: $(STAMP) target/python

$(STAMP): pyproject.toml requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint requirements.lock --editable ".[dev]"
	touch $(STAMP)

target/python: platform/interpreter/build.py platform/interpreter/interpreter.c $(STAMP)
	$(BIN)/python platform/interpreter/build.py $@

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
	PYTHONPATH=platform $(BIN)/python -m bench.soak --limits --seeds 10
	PYTHONPATH=platform $(BIN)/python -m bench.soak --cuts --seeds 10
	PYTHONPATH=platform $(BIN)/python -m bench.soak --statements --seeds 10
	PYTHONPATH=platform $(BIN)/python -m bench.soak --prompts --seeds 10
	PYTHONPATH=platform $(BIN)/python -m bench.soak --requests --seeds 10
	PYTHONPATH=platform $(BIN)/python -m bench.soak --crowds --seeds 10
	PYTHONPATH=platform $(BIN)/python -m bench.soak --rollouts --seeds 10
	PYTHONPATH=platform $(BIN)/python -m bench.soak --retries --seeds 10
	PYTHONPATH=platform $(BIN)/python -m bench.soak --outages --seeds 12
	PYTHONPATH=platform $(BIN)/python -m bench.soak --slow --seconds 8 --seeds 5
	PYTHONPATH=platform $(BIN)/python -m bench.soak --outages --disks --seeds 4
	PYTHONPATH=platform $(BIN)/python -m bench.soak --deployment --seconds 24 --seeds 10

bench: setup
	$(BIN)/python -m bench

processes: setup
	$(BIN)/python scripts/processes.py

regression:
	@test -n "$(PLATFORM_BENCH)" || { echo "regression: PLATFORM_BENCH is not set"; exit 2; }
	@test -n "$(PLATFORM_SITES)" || { echo "regression: PLATFORM_SITES is not set"; exit 2; }
	for site in $(REGRESSION_SITES); do \
		"$(PLATFORM_BENCH)" score "$(PLATFORM_SITES)/$$site.toml" --jobs 2 || exit 1; \
	done
