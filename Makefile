# Every target does its own set-up: a .venv in the checkout, with the programs in its bin.
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint format reference capacity

setup: $(STAMP)

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e ".[dev,measure]"
	touch $(STAMP)

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/write_reference.py --check

reference: setup
	$(BIN)/python tools/write_reference.py

test: setup lint
	$(BIN)/behave --format plain --no-capture --no-skipped
	$(BIN)/pytest

demo: setup
	bash tools/demo.sh $(BIN)

capacity: setup
	$(BIN)/python tools/measure_capacity.py
	$(BIN)/python tools/bench_membership.py
	$(BIN)/python tools/bench_recovery.py
	$(BIN)/python tools/bench_usage.py
	$(BIN)/python tools/bench_entry.py --seconds 5
