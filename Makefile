PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: run test lint format bench explore soak

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

run: $(STAMP)
	$(VENV)/bin/jayswitch-demo $(ARGS)

test: $(STAMP)
	$(VENV)/bin/python -m pytest $(ARGS)
	$(VENV)/bin/python -m pytest -o addopts= tests/deployment tests/loopback tests/soak $(ARGS)

lint: $(STAMP)
	$(VENV)/bin/black --check --quiet src tests tools bench
	$(VENV)/bin/isort --check --quiet src tests tools bench
	$(VENV)/bin/flake8 src tests tools bench
	$(VENV)/bin/mypy
	$(VENV)/bin/python tools/generate.py --check

format: $(STAMP)
	$(VENV)/bin/black --quiet src tests tools bench
	$(VENV)/bin/isort --quiet src tests tools bench

bench: $(STAMP)
	$(VENV)/bin/python -m bench $(ARGS)

explore: $(STAMP)
	$(VENV)/bin/python -m pytest --hypothesis-profile=explore $(ARGS)

soak: $(STAMP)
	$(VENV)/bin/python -W ignore -m tests.soak.soak $(ARGS)
