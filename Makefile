PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test lint demo soak slopes binary clean platform-day platform-score platform-hunt

# The platform-* targets need the platform's test kit: KIT=FOLDER SITE=NAME.
SITE ?= griddle-search
DAY ?= quiet-1
DAYS ?= 40
SEEDS ?= 50
WHY ?= a run by hand
FLEETBENCH = $(KIT)/bin/fleetbench
SITE_FILE = $(KIT)/sites/$(SITE).toml

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: lint
	PYTHONHASHSEED=0 $(BIN)/python -m pytest

demo: setup
	PATH=$(CURDIR)/$(BIN):$$PATH bash scripts/demo.sh

# Runs 50 fresh seeds in about half an hour; SEEDS=1 runs one.
soak: setup
	$(BIN)/python -m soak.run --fresh $(SEEDS)

slopes: setup
	$(BIN)/python -m bench.slopes

binary: setup
	bash scripts/binary.sh

clean:
	rm -rf $(VENV) dist build var

platform-day:
	$(FLEETBENCH) run $(SITE_FILE) $(DAY) --why "$(WHY)"

platform-score:
	$(FLEETBENCH) score $(SITE_FILE) --why "$(WHY)"

platform-hunt:
	$(FLEETBENCH) hunt $(SITE_FILE) --days $(DAYS) --why "$(WHY)"
