PYTHON ?= python3.11
VENV := .venv
STAMP := $(VENV)/.installed

BENCHES := calls choice config gather links members overload path sheds slopes tail

SEEDS ?= 1-5

.PHONY: all install demo test soak lint types check clean bench bench-fleet $(BENCHES:%=bench-%)

all: check

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -c constraints.txt -e '.[dev]'
	touch $(STAMP)

install: $(STAMP)

demo: $(STAMP)
	scripts/demo.sh

test: $(STAMP)
	$(VENV)/bin/python -m nose2

soak: $(STAMP)
	$(VENV)/bin/python -m tests.soak.run --seeds $(SEEDS)

lint: $(STAMP)
	$(VENV)/bin/ruff format --check src tests benchmarks
	$(VENV)/bin/ruff check src tests benchmarks

types: $(STAMP)
	$(VENV)/bin/mypy

check: lint types test

$(BENCHES:%=bench-%): bench-%: $(STAMP)
	$(VENV)/bin/python -m benchmarks.bench_$*

bench-fleet: $(STAMP)
	scripts/bench_fleet.sh

bench: $(BENCHES:%=bench-%)

clean:
	rm -rf $(VENV) build
