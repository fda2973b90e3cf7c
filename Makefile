PYTHON ?= python3
BIN := .venv/bin
export PIP_DISABLE_PIP_VERSION_CHECK := 1

.PHONY: install run test unit lint format scenarios mutations bench bench-system soak

install: .venv/installed

.venv/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

run: install
	exec $(BIN)/python -m balsamwall_standins.sample

test: install
	$(BIN)/python -m tools.verify

unit: install
	$(BIN)/python -m tools.run_tests

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 src standins tests scenarios bench tools soak
	$(BIN)/mypy

# make scenarios FILE=scenarios/drain.feature runs one file.
FILE ?= scenarios

scenarios: install
	$(BIN)/python -m behave $(FILE)

mutations: install
	$(BIN)/python -m tools.mutations

bench: install
	$(BIN)/python -m bench

# make soak SEEDS=1:50 runs real entries under faults.
SEEDS ?= 1:10

soak: install
	$(BIN)/python -m soak many --seeds $(SEEDS)

# Cost of running daemons: processor time per token and request, memory,
# control traffic; it starts the whole system.
bench-system: install
	$(BIN)/python -m bench.system
