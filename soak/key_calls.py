"""Calls with keys that are added and removed, and calls for jobs of other scopes."""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field, replace
from time import monotonic

from ebonyhub.ids import WorkspaceName
from ebonyhub.jobs.model import Resources
from standins.job_cluster import JobCluster
from standins.oracle import Oracle

from .callers import Callers, ReportedOutcome
from .impairments import CONFIG_APPLY_SECONDS
from .injector import Injector
from .key_checks import (
    KeyMonitor,
    KeyRecord,
    foreign_call_problem,
    key_state,
    keys_in_logs,
)
from .scopes import WORKSPACES, CallerScope, Play, ScopePlan, draw_key
from .workload import draw_steps_job

CHANGE_INTERVAL_SECONDS = (0.3, 2.0)
# Share of changes during which the store refuses an entry, and for how long.
REFUSAL_SHARE = 0.4
REFUSAL_SECONDS = (0.5, 6.0)
# Interval between two calls with keys to an entry, and the share of them that submit.
KEY_CALL_INTERVAL_SECONDS = 0.1
SUBMISSION_SHARE = 0.04
FOREIGN_CALL_INTERVAL_SECONDS = 0.1
# Most calls use one of the keys that were changed last.
RECENT_KEYS = 6
LOWERED_CPU = (1000, 3000)
MAX_KEYS_OF_WORKSPACE = 6
# Time in which a job is accepted when there are no faults.
ACCEPTANCE_TIMEOUT_SECONDS = 5.0
RETRY_DELAY_SECONDS = 0.2


@dataclass
class KeyCalls:
    """Changes keys and limits, and calls with all keys and across scopes."""

    cluster: JobCluster
    callers: Callers
    injector: Injector
    oracle: Oracle
    plan: ScopePlan
    monitor: KeyMonitor
    seed: int
    problems: list[str] = field(default_factory=list)
    # Workspace of each key that a configuration had.
    workspaces_of_keys: dict[str, WorkspaceName] = field(default_factory=dict)
    # Whether new jobs may still be submitted; later ones would end after the checks.
    submits: bool = True

    def __post_init__(self) -> None:
        """Record the first keys, a key that is never added, and calls without one."""
        if self.plan.play is not Play.WORKSPACES:
            return
        for row in self.plan.options.workspaces:
            for number, key in enumerate(row.keys):
                self.monitor.keys[key] = KeyRecord(f"key {number} of {row.name}")
                self.workspaces_of_keys[key] = WorkspaceName(row.name)
        never = float("inf")
        self.monitor.keys[None] = KeyRecord("no key", never)
        self.monitor.keys[draw_key(self._rng("unknown"))] = KeyRecord(
            "an unknown key", never
        )
        self.set_limits()

    def _rng(self, purpose: str) -> random.Random:
        """Return a generator for one purpose, so that no draw shifts another one."""
        return random.Random(f"{self.seed}/scopes/{purpose}")

    # Changes by the operators

    def set_limits(self) -> None:
        """Give every workspace its first limit, by the next configuration."""
        rows = self.cluster.platform.workspaces
        for name, _, limit, _ in WORKSPACES:
            rows[name] = replace(rows[name], limit=limit)
            self.oracle.workspace_limits.set_limit(WorkspaceName(name), limit)

    async def change_configurations(self) -> None:
        """Add and remove keys and change limits until the task is cancelled."""
        rng = self._rng("changes")
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(rng.uniform(*CHANGE_INTERVAL_SECONDS))
                if rng.random() < REFUSAL_SHARE:
                    entry = rng.choice(self.cluster.names)
                    seconds = rng.uniform(*REFUSAL_SECONDS)
                    group.create_task(self.injector.refuse_entry(entry, seconds))
                    await asyncio.sleep(rng.choice([0.0, 0.3]))
                if not self.cluster.platform.store.down:
                    self._change(rng)

    def _change(self, rng: random.Random) -> None:
        """Write a version in which one key or one limit has changed."""
        rows = self.cluster.platform.workspaces
        name = rng.choice(list(rows))
        row = rows[name]
        removable = row.keys[1:]
        draw = rng.random()
        if draw < 0.2:
            self._change_limit(rng)
        elif removable and (draw < 0.6 or len(row.keys) >= MAX_KEYS_OF_WORKSPACE):
            key = rng.choice(removable)
            rows[name] = row.without_key(key)
            self.injector.write_configuration()
            record = self.monitor.keys.pop(key)
            record.removed_at = monotonic()
            # Last, as the keys that have just changed.
            self.monitor.keys[key] = record
            self.injector.timeline.write(f"removed {record.label}")
        else:
            key = draw_key(rng)
            rows[name] = row.with_key(key)
            label = f"key {len(self.monitor.keys)} of {name}"
            self.injector.write_configuration()
            self.monitor.keys[key] = KeyRecord(label, monotonic())
            self.workspaces_of_keys[key] = WorkspaceName(name)
            self.injector.timeline.write(f"added {label}")

    def _change_limit(self, rng: random.Random) -> None:
        rows = self.cluster.platform.workspaces
        name, _, first, _ = rng.choice([row for row in WORKSPACES if row[2].cpu])
        limit = rng.choice([first, Resources(rng.choice(LOWERED_CPU), 0, 0)])
        rows[name] = replace(rows[name], limit=limit)
        self.injector.write_configuration()
        self.oracle.workspace_limits.set_limit(WorkspaceName(name), limit)
        self.injector.timeline.write(f"limit of {name} is {limit}")

    # Calls

    def calls(self) -> list[Coroutine[None, None, None]]:
        """Return the calls that a run makes until they are cancelled."""
        if self.plan.play is Play.ONE_QUEUE:
            return []
        if self.plan.play is Play.QUEUES:
            return [self.call_across_scopes()]
        by_entry = [self.call_with_keys(name) for name in self.cluster.names]
        return [self.call_across_scopes(), *by_entry]

    async def call_with_keys(self, entry: str) -> None:
        """Count jobs and submit some at an entry, with every kind of key."""
        rng = self._rng(entry)
        while True:
            await asyncio.sleep(KEY_CALL_INTERVAL_SECONDS)
            keys = list(self.monitor.keys)
            key = rng.choice(keys[-RECENT_KEYS:] if rng.random() < 0.7 else keys)
            # For a key in no workspace the owner is arbitrary, since 401 is due.
            scopes = self.plan.scopes()
            workspace = self.workspaces_of_keys.get(key or "")
            owner = rng.choice(
                [s for s in scopes if s.workspace == workspace] or scopes
            )
            scope = replace(owner, key=key)
            if rng.random() < SUBMISSION_SHARE and self.submits:
                drawn = draw_steps_job(rng)
                await self.callers.submit_once(drawn, entry, scope, owner)
            else:
                await self.callers.call(entry, "GET", "", scope=scope)

    async def call_across_scopes(self) -> None:
        """Read, cancel and submit jobs that belong to other scopes."""
        rng = self._rng("foreign calls")
        while True:
            await asyncio.sleep(FOREIGN_CALL_INTERVAL_SECONDS)
            outcomes = self.callers.reported_outcomes
            accepted = [j for j, o in outcomes.items() if o is ReportedOutcome.ACCEPTED]
            if not accepted:
                continue
            job = rng.choice(accepted)
            scope = self.plan.draw_other(rng, self.plan.of(job))
            method = rng.choice(["GET", "GET", "DELETE", "POST"])
            entry = rng.choice(self.cluster.names)
            body = self.callers.jobs[job].body if method == "POST" else None
            answer = await self.callers.call(entry, method, job, body, scope)
            status = answer.status if answer is not None else None
            problem = foreign_call_problem(entry, method, status)
            if problem is not None:
                self.problems.append(f"{problem}: job {job}")

    # Checks after the faults

    async def final_problems(self) -> list[str]:
        """Return what is wrong once there are no faults any more."""
        if self.plan.play is Play.ONE_QUEUE:
            return []
        await asyncio.sleep(CONFIG_APPLY_SECONDS)
        problems = [await self._withdraw_in_other_scope(n) for n in self.cluster.names]
        if self.plan.play is Play.WORKSPACES:
            for entry in self.cluster.names:
                problems += await self._check_all_keys(entry)
        return [problem for problem in problems if problem]

    async def _withdraw_in_other_scope(self, entry: str) -> str:
        """Cancel an unknown job in one scope; it must be accepted in another."""
        rng = self._rng(f"withdrawal at {entry}")
        drawn = draw_steps_job(rng)
        owner = self.plan.assign(drawn)
        other = self.plan.draw_other(rng, owner)
        await self.callers.call(entry, "DELETE", drawn.job, scope=other)
        end = monotonic() + ACCEPTANCE_TIMEOUT_SECONDS
        while monotonic() < end:
            outcome = await self.callers.submit_once(drawn, entry, owner, owner)
            if outcome is ReportedOutcome.ACCEPTED:
                return ""
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        return f"SCOPE: {entry} refuses {drawn.job}, which another scope has cancelled"

    async def _check_all_keys(self, entry: str) -> list[str]:
        """Return the keys that an entry does not treat as the newest version says."""
        problems: list[str] = []
        for key, record in list(self.monitor.keys.items()):
            scope = CallerScope(key=key)
            answer = await self.callers.call(entry, "GET", "", scope=scope)
            status = answer.status if answer is not None else None
            expected = 200 if key_state(record, monotonic()) == "valid" else 401
            if status != expected:
                problems.append(f"KEY: {entry} answers {status} to {record.label}")
        return problems

    def check_logs(self) -> list[str]:
        """Return the entries whose logs contain a key."""
        keys = [key for key in self.monitor.keys if key is not None]
        logs = {name: self.cluster.read_log(name) for name in self.cluster.names}
        return keys_in_logs(logs, keys)
