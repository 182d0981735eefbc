PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: run test install format lint types model tests

run: install
	$(BIN)/python -m dragonflynotch local --deployment tavua

test: install lint types model tests

install: $(STAMP)

$(STAMP): requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

format:
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint:
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 dragonflynotch benchmarks model

types:
	$(BIN)/mypy

model:
	$(BIN)/python -m model.check

tests:
	$(BIN)/python -m pytest
