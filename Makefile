PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(sort $(wildcard packages/*/pyproject.toml))
# The stamp changes with the declared packages, not with file times.
STAMP := $(VENV)/.installed-$(shell cat constraints.txt $(PACKAGES) | cksum | cut -d' ' -f1)
EDITABLE := $(foreach p,$(PACKAGES),-e $(dir $(p)))

export PYTHONPATH := $(CURDIR)/$(subst $(eval) ,:$(CURDIR)/,$(strip $(patsubst %/pyproject.toml,%/src,$(PACKAGES))))

.PHONY: setup format lint unit test demo measure capacity startcost soak clean

setup: $(STAMP)

$(STAMP):
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -c constraints.txt hatchling editables
	$(BIN)/python -m pip install -q -c constraints.txt --no-build-isolation \
		$(EDITABLE) pytest pytest-bdd hypothesis ruff h11
	touch $(STAMP)

format: setup
	$(BIN)/ruff format packages platform examples
	$(BIN)/ruff check --fix packages platform examples

lint: setup
	$(BIN)/ruff format --check packages platform examples
	$(BIN)/ruff check packages platform examples

unit: setup
	$(BIN)/python -m pytest

test: lint unit

demo: setup
	$(BIN)/python -m medlarridge_standins.demo $(ARGS)

measure: setup
	$(BIN)/python -m medlarridge_standins.measure $(ARGS)

capacity: setup
	MEDLARRIDGE_COMMIT=$$(git rev-parse --short HEAD) $(BIN)/python -m medlarridge_standins.capacity $(ARGS)

# Compares the processor time of a start with other source trees, named in ARGS.
startcost: setup
	$(BIN)/python -m medlarridge_standins.start_cost $(ARGS)

# Plays fresh seeds with real processes for some minutes; not a part of the tests.
soak: setup
	PYTHONPATH=$(PYTHONPATH):$(CURDIR)/platform:$(CURDIR)/packages/medlarridge-direct/tests \
		$(BIN)/python -m soak $(ARGS)

clean:
	rm -rf $(VENV)
