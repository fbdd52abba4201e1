# Each target builds what it needs in .venv from pinned versions.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: test lint unit demo bench documents format clean

test: lint unit

$(VENV)/ready: requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements-dev.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

lint: $(VENV)/ready
	$(BIN)/black --quiet --check src tests examples
	$(BIN)/ruff check --quiet src tests examples
	$(BIN)/mypy

unit: $(VENV)/ready
	$(BIN)/python -W error::ResourceWarning tests/run.py

format: $(VENV)/ready
	$(BIN)/ruff check --quiet --fix --exit-zero src tests examples
	$(BIN)/black --quiet src tests examples

demo: $(VENV)/ready
	$(BIN)/beryltiller demo

bench: $(VENV)/ready
	$(BIN)/beryltiller bench

documents: $(VENV)/ready
	$(BIN)/python -m beryltiller.commands.documents docs

clean:
	rm -rf $(VENV) build src/*.egg-info
