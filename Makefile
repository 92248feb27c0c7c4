VENV ?= .venv
PYTHON = $(VENV)/bin/python
# Every test file runs in one process; files spread over the processors.
TEST_PROCESSES ?= auto
export PYTHONPATH = src
# Random schedules of the tests repeat with their seed only if sets keep their
# order.
export PYTHONHASHSEED = 0

# Crowds of clients are played one at a time, apart from other tests.
.PHONY: setup demo test lint format bench

$(VENV)/.ready: requirements.lock pyproject.toml Makefile
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.lock
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation -e .
	touch $(VENV)/.ready

setup: $(VENV)/.ready

demo: setup
	$(PYTHON) -m magnoliapitch demo

test: setup
	$(PYTHON) -m pytest -n $(TEST_PROCESSES) --dist loadfile \
		--ignore=tests/crowds
	$(PYTHON) -m pytest tests/crowds

lint: setup
	$(VENV)/bin/ruff format --check src tests
	$(VENV)/bin/ruff check src tests
	$(VENV)/bin/mypy

format: setup
	$(VENV)/bin/ruff format src tests
	$(VENV)/bin/ruff check --fix src tests

bench: setup
	$(PYTHON) -m magnoliapitch bench decisions
	$(PYTHON) -m magnoliapitch bench requests
	$(PYTHON) -m magnoliapitch bench capacity
