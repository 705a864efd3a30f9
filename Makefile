VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := packages/cassiaspread-core packages/cassiaspread-daemon packages/cassiaspread-cli \
	platform

.PHONY: setup demo serve test lint format docs clean

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock $(addsuffix /pyproject.toml,$(PACKAGES))
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(addprefix -e ./,$(PACKAGES))
	touch $@

demo: setup
	$(PY) -m examples.demo

serve: setup
	$(PY) -m examples.demo --serve

test: setup
	$(PY) -m pytest $(PYTEST_ARGS)

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

docs: setup
	$(PY) -m cassiaspread_daemon.settings_reference > docs/operators/settings.md
	$(PY) -m cassiaspread_core.policy_reference > docs/operators/configuration-fields.md
	$(PY) -m benchmarks.capacity > docs/design/own-interface-costs.md

clean:
	rm -rf $(VENV)
