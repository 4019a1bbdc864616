# The program's dependencies are installed into .venv, as in deploy/balancer.toml; those of tests and lint into .venv-dev.
PYTHON ?= python3
CONFIG ?= deploy/example-config.json

.PHONY: build test lint run demo demo-conductor

build:
	cmp -s requirements.txt .venv/built-from || ($(PYTHON) -m venv .venv && \
	  .venv/bin/pip -q install -r requirements.txt && cp requirements.txt .venv/built-from)
	.venv/bin/python -m compileall -q kestrelplank

.venv-dev/built-from: requirements.txt constraints.txt pyproject.toml
	$(PYTHON) -m venv .venv-dev
	.venv-dev/bin/pip -q install -r requirements.txt -c constraints.txt -e '.[test,lint]'
	cp requirements.txt $@

test: .venv-dev/built-from
	.venv-dev/bin/python -m pytest -q

lint: .venv-dev/built-from
	.venv-dev/bin/ruff check . && .venv-dev/bin/ruff format --check . && .venv-dev/bin/mypy && .venv-dev/bin/lint-imports

run: build
	NODE_CONFIG=$(CONFIG) exec .venv/bin/python -m kestrelplank

demo: .venv-dev/built-from
	.venv-dev/bin/python -m kestrelplank.gateway rehearse

demo-conductor: .venv-dev/built-from
	.venv-dev/bin/kestrelplank rehearse rehearsals/windsor-lost.ini
