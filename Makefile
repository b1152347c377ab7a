PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
SEEDS ?= 100
SECONDS ?= 600

.PHONY: setup test lint demo measure capacity soak check gen format

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[dev]'
	touch $@

setup: $(VENV)/ready

lint: setup
	$(BIN)/black -q --check src platform standins features
	$(BIN)/ruff check -q src platform standins features

format: setup
	$(BIN)/black -q src platform standins features
	$(BIN)/ruff check -q --fix src platform standins features

test: lint
	$(BIN)/python -m features.run

demo: setup
	$(BIN)/python -m standins.demo

measure: setup
	$(BIN)/python -m standins.load measure

capacity: setup
	$(BIN)/python -m standins.slopes

soak: setup
	$(BIN)/python -m features.soak --seeds $(SEEDS)

check: setup
	$(BIN)/python -m features.check --seconds $(SECONDS)

gen:
	thrift --gen py:slots,package_prefix=wagtailloft.gen. -out src/wagtailloft/gen src/wagtailloft/idl/peer.thrift && rm -f src/wagtailloft/gen/peer/Peer-remote
