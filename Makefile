# The two commands for a newcomer are `make demo` and `make test`.
PYTHON ?= python3
VENV ?= $(CURDIR)/.venv
PY = $(VENV)/bin/python
SOURCES = packages platform standins tests

export PYTHONPATH := $(CURDIR)/packages/hemlockreel:$(CURDIR)/packages/hemlockreel-daemon:$(CURDIR)/packages/hemlockreel-ctl:$(CURDIR)/standins:$(CURDIR)/platform

.PHONY: install lint format unit test demo platform report measure slopes faults soak

# A virtual environment named by VENV is used as it is.
ifeq ($(origin VENV),file)
install: $(VENV)/.installed
else
install:
	test -x $(PY)
endif

$(VENV)/.installed: constraints.txt packages/*/pyproject.toml standins/pyproject.toml
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt \
	    -e packages/hemlockreel -e packages/hemlockreel-daemon \
	    -e packages/hemlockreel-ctl -e 'standins[test]'
	touch $@

format: install
	$(VENV)/bin/ruff format $(SOURCES)

lint: install
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)
	$(VENV)/bin/flake8 $(SOURCES)

unit: install
	$(PY) -m pytest

test: lint unit

demo: install
	$(PY) -m hemlockreel_standins.demo $(ARGS)

platform: install
	$(PY) -m hemlockreel_standins.platform_site $(ARGS)

report: install
	$(PY) platform/report.py $(ARGS)

measure: install
	$(PY) -m hemlockreel_standins.measure $(ARGS)

slopes: install
	$(PY) -m hemlockreel_standins.slopes $(ARGS)

faults: install
	$(PY) -m hemlockreel_standins.faults $(ARGS)

soak: install
	$(PY) -m hemlockreel_standins.soak $(ARGS)
