PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: environment run test lint format types lock

environment: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

run: environment
	$(BIN)/magnoliahold dev

test: environment
	$(BIN)/python -m tests

lint: environment
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: environment
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

types: environment
	$(BIN)/mypy

lock: environment
	$(BIN)/pip-compile --quiet --strip-extras --extra dev --allow-unsafe --no-emit-index-url --no-emit-trusted-host --no-header --generate-hashes --output-file requirements.lock pyproject.toml
