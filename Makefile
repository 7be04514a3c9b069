# Two targets do all the set-up on a machine with Python 3.11 and make.
PYTHON ?= python3.11
VENV := .venv
# A fixed hash seed keeps the order of sets, and so each seeded run, the same.
RUN := PYTHONHASHSEED=0 PYTHONPATH=src:tests $(VENV)/bin/python

.PHONY: run test bench lint environment

environment: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

# Starts a local fleet, sends requests through it and stops it (KEEP=1 leaves it
# up); then takes a job of two steps through hosts on the platform's stand-ins.
run: environment
	$(RUN) -m stand_ins.local_fleet $(if $(KEEP),--keep)
	$(if $(KEEP),,$(RUN) -m stand_ins.local_platform)

test: environment
	$(RUN) -m stand_ins.run_features $(or $(FEATURES),tests)

bench: environment
	$(RUN) -m benchmarks

lint: environment
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(RUN) -m stand_ins.check_imports src tests benchmarks
	$(VENV)/bin/mypy
