VENV := .venv
PY := $(VENV)/bin/python
TEST_WORKERS := 5
STAMP := $(VENV)/.installed

.PHONY: quickstart test check format bench slopes play soak setup lock

quickstart: setup
	$(PY) -m passpier.standins.quickstart

test: setup
	$(PY) -m pytest -n $(TEST_WORKERS)

check: setup
	$(VENV)/bin/ruff format --check passpier
	$(VENV)/bin/ruff check passpier
	$(VENV)/bin/mypy passpier

format: setup
	$(VENV)/bin/ruff check --fix passpier
	$(VENV)/bin/ruff format passpier

bench: setup
	$(PY) -m passpier.standins.bench $(BENCH)

slopes: setup
	$(PY) -m passpier.standins.slopes

play: setup
	$(PY) -m passpier.standins.platform.play $(PLAY)

soak: setup
	$(PY) -m passpier.standins.platform.soak $(SOAK)

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)
