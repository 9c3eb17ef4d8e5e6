"""Random restarts, cuts, late calls, outages and take-overs, in virtual time.

Guards against combinations of faults that the rows of the other tests of worker
processes leave out. ``python -m tests.test_worker_process_fuzz FIRST LAST`` plays more
seeds.
"""

import asyncio
import random
import sys
from math import inf

import pytest
from absl import logging

from ebonyhub.fleet.model import VmState
from tests.test_worker_process_variants import AHEAD, BEHIND, EQUAL, listed, set_vm
from tests.virtual_network import Fate, FateRule
from tests.worker_process_driver import run_virtually

SEEDS = range(12)
FAULT_SECONDS = 40.0
FATES = [Fate.LATE, Fate.LATE, Fate.LATE, Fate.LOST, Fate.LOST, Fate.DROPPED]
# Small changes may hide in the transit time of an answer.
CLOCK_CHANGES = [BEHIND, BEHIND, EQUAL, AHEAD, -3000, 3000, -400]
# Share of calls with a fate of their own, and that share around a restart.
RATES = (0.0, 0.02, 0.1)
RATE_AROUND_RESTARTS = 0.5


class Faults:
    """Disturbs a platform at random until its end of faults."""

    def __init__(self, platform, seed):
        self.platform = platform
        self.rng = random.Random(seed)
        self.ends_at = platform.now + FAULT_SECONDS
        self.rate = self.rng.choice(RATES)
        self.fates = FATES + [Fate.DOUBLED] * self.rng.randrange(2)
        self.take_over_rate = self.rng.choice([0.0, 0.3, 1.0])
        # Until when the calls to a worker are disturbed.
        self.disturbed = {}
        self.jobs = []
        platform.store.commit_seconds = self.rng.choice([0.0, 0.0, 0.02, 0.25])
        platform.vms = [listed(name) for name in platform.hosts]
        platform.network.take_rule = self.take_rule
        self.carry_out_later = platform.network.carry_out_later
        platform.network.carry_out_later = self.carry_out_without_cursor

    def take_rule(self, host, target):
        """Return the fate of a call."""
        now, rng = self.platform.now, self.rng
        near = now < self.disturbed.get(host.name, -inf)
        rate = RATE_AROUND_RESTARTS if near else self.rate
        if now > self.ends_at or rng.random() >= rate:
            return FateRule(target, Fate.ANSWERED)
        return FateRule(target, rng.choice(self.fates), rng.uniform(2, 12))

    def carry_out_without_cursor(self, delay, host, target, body):
        """Carry out a call late, with nothing to acknowledge.

        A cursor that the next process takes before its fence is an open point with a
        failing test of its own, test_acknowledgement_for_the_former_process.
        """
        body = body | {"AckCursor": 0} if target == "/hold" else body
        self.carry_out_later(delay, host, target, body)

    async def pause(self, longest):
        await asyncio.sleep(self.rng.uniform(0.0, longest))

    async def restart(self, name):
        """End a worker's process, and start the next one after a while."""
        platform, rng = self.platform, self.rng
        platform.crash(name, dark=rng.random() < 0.6)
        if rng.random() < 0.5:
            set_vm(platform, name, listed(name, VmState.DOWN, ""))
        if rng.random() < 0.3:
            await self.pause(1.0)
            platform.remove_entry(name)
        await self.pause(rng.choice([1.0, 3.0, 12.0]))
        platform.restart(name, rng.choice(CLOCK_CHANGES))
        set_vm(platform, name, listed(name))
        await self.pause(rng.choice([0.0, 0.3, 2.0]))
        platform.write_entry(name)

    async def cut(self, name, longest):
        """Keep the leader's packets from a worker for a while."""
        self.platform.set_cut(name)
        await self.pause(longest)
        self.platform.set_cut(name, False)

    async def disturb_worker(self, name):
        rng = self.rng
        while self.platform.now < self.ends_at:
            await self.pause(12.0)
            self.disturbed[name] = self.platform.now + rng.choice([0.0, 0.5, 2.0])
            await self.pause(0.5)
            if rng.random() < 0.25:
                await self.cut(name, 9.0)
                continue
            for _ in range(rng.choice([1, 1, 2])):
                await self.restart(name)
                await self.pause(1.0)
            if rng.random() < 0.5:
                await self.pause(rng.choice([0.0, 0.05, 3.0]))
                await self.cut(name, 15.0)

    async def disturb_leader(self):
        platform, rng = self.platform, self.rng
        while platform.now < self.ends_at:
            await asyncio.sleep(rng.uniform(4.0, 25.0))
            if rng.random() < self.take_over_rate:
                await platform.end_term()
                await self.pause(1.4)
                await platform.lead()
            elif rng.random() < 0.5:
                platform.set_store(False)
                await self.pause(6.0)
                platform.set_store(True)

    async def submit(self):
        while self.platform.now < self.ends_at:
            if self.platform.controller is not None:
                seconds = self.rng.choice([0.2, 0.5, 2.0, 8.0, 15.0, 20.0])
                count = self.rng.choice([1, 1, 2])
                self.jobs.append(self.platform.submit(seconds, count))
            await self.pause(6.0)

    async def play(self):
        """Play all faults, and wait until all jobs have ended."""
        platform = self.platform
        parts = [self.disturb_worker(name) for name in platform.hosts]
        await asyncio.gather(*parts, self.disturb_leader(), self.submit())
        # Jobs may have failed, since tasks under which workers crash are given up.
        await platform.until(
            lambda: all(platform.state(job).is_final for job in self.jobs), 400.0
        )


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_and_all_jobs_end(seed, monkeypatch):
    async def main(platform):
        faults = Faults(platform, seed)
        await faults.play()
        assert platform.network.violations == []

    run_virtually(main, monkeypatch)


def play_seeds(first, last):
    """Play seeds and print those that fail."""
    logging.set_verbosity(logging.FATAL)
    for seed in range(first, last):
        with pytest.MonkeyPatch.context() as monkeypatch:
            try:
                test_no_task_runs_twice_and_all_jobs_end(seed, monkeypatch)
            except Exception as error:
                print(seed, repr(error)[:300], flush=True)
    print(f"{last - first} seeds played")


if __name__ == "__main__":
    play_seeds(int(sys.argv[1]), int(sys.argv[2]))
