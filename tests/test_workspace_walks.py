"""Seeded random histories of the state machine in ``test_workspace_machine``.

They reach longer sequences than its generated examples, which did not find a run that a
new leader failed to count after a cancel, the loss of an entry and a take-over.
"""

import random

import pytest

from ebonyhub.scheduling.model import RunOutcome
from tests.test_workspace_machine import NAMES, NODES, Workspaces

STEPS = 60
SEEDS_PER_CASE = 150
FATES = ("ok", "ok", "ok", "lost", "late", "refused")


def submit(machine, rng):
    cores = rng.choice((1, 1, 1, 2, 4, 8))
    machine.submit(rng.choice(NAMES), rng.randint(1, 6), cores, rng.random() < 0.2)


def wait_and_report(machine, rng):
    nodes = {name for name in NODES if rng.random() < 0.7}
    machine.wait_and_report(nodes, rng.choice((0.3, 0.3, 1.5)))


def plan(machine, rng):
    fates = rng.choices(FATES, k=rng.randint(0, 4))
    lowered = (rng.choice(NAMES), rng.randint(1, 3)) if rng.random() < 0.2 else None
    machine.plan(fates, lowered)


def take_over(machine, rng):
    cancelled = rng.choice((None, rng.randint(0, 99)))
    machine.take_over(rng.choice((None, *NODES)), cancelled)


def end_run(machine, rng):
    outcome = rng.choice((RunOutcome.DONE, RunOutcome.FAILED))
    machine.run_ends(rng.randint(0, 99), outcome)


def end_leases(machine, rng):
    machine.all_leases_end({index for index in range(10) if rng.random() < 0.5})


# Weight by step of a history.
RULES = {
    submit: 6,
    wait_and_report: 8,
    plan: 8,
    end_run: 4,
    take_over: 3,
    lambda machine, rng: machine.late_order_arrives(rng.randint(0, 99)): 2,
    lambda machine, rng: machine.cancel(rng.randint(0, 99)): 2,
    end_leases: 3,
    lambda machine, rng: machine.suspect(rng.randint(0, 99)): 2,
    lambda machine, rng: machine.entry_leaves_or_returns(rng.choice(NODES)): 1,
    lambda machine, rng: machine.change_limit(rng.choice(NAMES), rng.randint(0, 9)): 1,
}


@pytest.mark.parametrize("block", range(8))
def test_histories(block):
    for seed in range(block * SEEDS_PER_CASE, (block + 1) * SEEDS_PER_CASE):
        rng = random.Random(seed)
        machine = Workspaces()
        machine.begin(
            tuple(rng.randint(0, 9) for _ in NAMES),
            tuple(rng.choice((0.5, 1.0, 200.0)) for _ in NAMES),
        )
        try:
            for rule in rng.choices([*RULES], [*RULES.values()], k=STEPS):
                rule(machine, rng)
                machine.use_is_never_counted_too_low()
            machine.teardown()
        except Exception as error:
            error.add_note(f"seed {seed}")
            raise
