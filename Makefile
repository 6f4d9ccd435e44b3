VENV ?= .venv
PYTHON ?= python3
RUN = PYTHONPATH=. $(VENV)/bin/python

# Seeds of the soak test in CI; add each seed that fails.
SEEDS ?= 6 12

.PHONY: setup demo test check soak

$(VENV)/.installed: pyproject.toml requirements.lock
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -c requirements.lock -e ".[dev]"
	touch $(VENV)/.installed

setup: $(VENV)/.installed

demo: setup
	$(RUN) -m examples.demo

test: setup
	$(RUN) -m features.run

soak: setup
	$(RUN) -m soak.run $(SEEDS)

check: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy hibiscuspin standins bench examples features soak
