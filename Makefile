# Every target works from a fresh clone with Python 3.11, pip and make only.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
export PYTHONPATH := src:.
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: env demo test format dist bench report soak clean

env: $(VENV)/.installed

$(VENV)/.installed: requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements-dev.txt
	touch $@

demo: env
	$(BIN)/python -m standins.demo
	$(BIN)/python -m standins.job_demo

test: env dist
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/pytest

format: env
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

dist: dist/ebonyhub

dist/ebonyhub: requirements.txt $(shell find src -name "*.py") | env
	rm -rf build/site && mkdir -p build/site dist
	$(BIN)/pip install --quiet --require-hashes --target build/site -r requirements.txt
	cp -r src/ebonyhub build/site/
	$(BIN)/shiv --site-packages build/site --entry-point ebonyhub.launcher:main \
	  --python '/usr/bin/env python3.11' --output-file $@

bench: env
	$(BIN)/python -m bench.scheduling

report: env
	$(BIN)/python -m reports.draw $(LOGS) --output build/day.png

soak: env
	$(BIN)/python -m soak.run --seeds 1-50

clean:
	rm -rf $(VENV) build dist
