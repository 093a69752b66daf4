# Every command makes the virtual environment first if there is none.
PYTHON ?= python3
BIN := .venv/bin
PACKAGES := packages/runhatch-coordination packages/runhatch-server \
	packages/runhatch-cli platform standins
PIP := $(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt

.PHONY: demo test check env

env: .venv/ready

.venv/ready: constraints.txt requirements-build.txt requirements-dev.txt \
		$(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv .venv
	$(PIP) -r requirements-build.txt
	$(PIP) --no-build-isolation -r requirements-dev.txt $(addprefix -e ,$(PACKAGES))
	touch $@

demo: .venv/ready
	$(BIN)/python -m runhatch_standins.demo

test: .venv/ready
	$(BIN)/pytest

check: .venv/ready
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy packages/*/src platform/src standins/src

SECONDS ?= 60
SEED ?= 1
KINDS ?= all

.PHONY: soak
soak: .venv/ready
	$(BIN)/python -m runhatch_standins.soak --seconds $(SECONDS) --seed $(SEED)

.PHONY: gateway-soak
gateway-soak: .venv/ready
	$(BIN)/python -m runhatch_standins.gateway_soak \
		--seconds $(SECONDS) --seed $(SEED) --kinds $(KINDS) \
		$(if $(LOGS),--logs $(LOGS))

BENCHES := bench-relay bench-overload bench-claims bench-control \
	bench-pictures bench-placement bench-membership bench-routing bench-logs \
	bench-orders bench-permits bench-silent-store

.PHONY: bench slopes $(BENCHES)
bench: $(BENCHES)

$(BENCHES): .venv/ready
	cd benchmarks && ../$(BIN)/python $(subst -,_,$@).py

slopes: .venv/ready
	cd benchmarks && ../$(BIN)/python bench_slopes.py

.PHONY: settings-reference metrics-reference
metrics-reference: .venv/ready
	$(BIN)/python -m runhatch_server.observability._reference \
		> docs/operations/metrics.md

settings-reference: .venv/ready
	$(BIN)/python -m runhatch_server.settings._reference \
		> docs/operations/settings.md
