# What a newcomer needs: build, test, lint, run.

.PHONY: build test lint run try measure-membership measure-rollout measure-budgets measure-told measure-cold soak clean

build: .venv/requirements.done

.venv/requirements.done: requirements.txt
	rm -rf .venv
	python3 -m venv .venv
	.venv/bin/python -m pip -q install -r requirements.txt
	cp requirements.txt $@

.venv-dev/done: requirements.txt requirements-fleet.txt pyproject.toml
	rm -rf .venv-dev
	python3 -m venv .venv-dev
	.venv-dev/bin/python -m pip -q install -r requirements-fleet.txt 'pytest>=8,<10' 'hypothesis>=6,<7' 'ruff>=0.6,<1'
	touch $@

test: .venv-dev/done
	.venv-dev/bin/python -m pytest -q

lint: .venv-dev/done
	.venv-dev/bin/ruff check .
	.venv-dev/bin/ruff format --check .

# EDGE_CONFIG names the node's file.
run: build
	exec .venv/bin/python -B -m thornladder

# Four nodes, backends and clients for some 20 s: one node is killed, one paused, one link cut one way.
try: .venv-dev/done
	.venv-dev/bin/python -m thornladder.cli rig run experiments/try.toml

# Ten minutes at most; FULL=1 for the long one. The last line is one JSON object.
measure-membership: .venv-dev/done
	.venv-dev/bin/python -m thornladder.measures.membership $(if $(FULL),--full)

measure-budgets: .venv-dev/done
	.venv-dev/bin/python -m thornladder.measures.budgets $(if $(FULL),--full)

measure-told: .venv-dev/done
	.venv-dev/bin/python -m thornladder.measures.told $(if $(FULL),--full)

measure-cold: .venv-dev/done
	.venv-dev/bin/python -m thornladder.measures.cold $(if $(FULL),--full)

measure-rollout: .venv-dev/done
	.venv-dev/bin/python -m thornladder.measures.rollout $(if $(FULL),--full)

# Some twenty minutes: 50 seeds of each kind, on real processes: shut down, in service, behind faulty networks,
# upgraded, with little memory. SEEDS and FIRST choose others.
soak: .venv-dev/done
	.venv-dev/bin/python -m thornladder.measures.soak --seeds $(or $(SEEDS),50) --first $(or $(FIRST),0)
	.venv-dev/bin/python -m thornladder.measures.soak --kind service --seeds $(or $(SEEDS),50) --first $(or $(FIRST),0)
	.venv-dev/bin/python -m thornladder.measures.soak --kind network --seeds $(or $(SEEDS),50) --first $(or $(FIRST),0)
	.venv-dev/bin/python -m thornladder.measures.soak --kind upgrade --seeds $(or $(SEEDS),50) --first $(or $(FIRST),0)
	.venv-dev/bin/python -m thornladder.measures.soak --kind pressure --seeds $(or $(SEEDS),50) --first $(or $(FIRST),0)
	.venv-dev/bin/python -m thornladder.measures.soak --kind crowd --seeds $(or $(SEEDS),50) --first $(or $(FIRST),0)

clean:
	rm -rf .venv .venv-dev
