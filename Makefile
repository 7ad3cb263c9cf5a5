PYTHON ?= python3
VENV ?= .venv
SEED ?= $(shell date +%s)
BIN = $(VENV)/bin

.PHONY: demo test lint format bench campaign install

install: $(VENV)/installed

$(VENV)/installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@

demo: install
	$(BIN)/python examples/demo.py

test: install
	$(BIN)/python -m pytest -n auto --dist worksteal

lint: install
	$(BIN)/ruff check .
	$(BIN)/pyink --quiet --check .
	$(BIN)/mypy
	MYPYPATH=platform $(BIN)/mypy --strict --ignore-missing-imports platform/program.py

format: install
	$(BIN)/ruff check --fix .
	$(BIN)/pyink --quiet .

bench: install
	$(BIN)/python -m bench

campaign: install
	@echo "seed: $(SEED)"
	$(BIN)/python -m pytest tests/test_replica.py tests/test_leases.py tests/test_freshness.py tests/test_once.py -k "Quorum or Fleet or Relays or Ledger" --hypothesis-profile=campaign --hypothesis-seed=$(SEED)
