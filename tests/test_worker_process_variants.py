"""Workers that restart under their ids, with calls that are late, lost or doubled.

Guards against what one process of a worker was sent, told or was believed of it, and
that is kept for or forgotten at the next process: two runs of a task at the same time,
an end that is lost, and a task that does not start again.

The real controller runs in virtual time. Clocks of the next process are days behind, the
same or days ahead; calls without an answer are carried out up to 12 s later.
"""

from dataclasses import dataclass, replace

import pytest

from ebonyhub.fleet.model import Vm, VmState
from ebonyhub.ids import PoolName, RackId, VmId, WorkerId
from ebonyhub.jobs.model import Resources
from ebonyhub.jobs.records import JobState
from standins.emulator import SERVICE
from tests.worker_process_driver import Fate, FateRule, run_virtually

# Change of the clock in ms from one process to the next.
BEHIND, EQUAL, AHEAD = -50_000_000, 0, 50_000_000
TASK_SECONDS = 15.0
# Seconds for which a platform is watched after the last event of a row. Late calls come
# for 12 s, and leases last 10 s.
WATCH_SECONDS = 60.0


@dataclass(frozen=True)
class Row:
    """A run whose worker restarts; times are seconds after the start was sent."""

    label: str
    start: Fate = Fate.ANSWERED
    start_delay: float = 3.0
    crash: float = 0.1
    # The machine closes no connection when its process ends.
    dark: bool = True
    # When the process is back; None if it stays away.
    back: float | None = 0.7
    clock: int = BEHIND
    second_crash: float | None = None
    second_back: float = 0.0
    # The leader's packets do not reach the worker from then on.
    cut: float | None = None
    # The leader is killed, and the next one leads 1.3 s later.
    take_over: float | None = None
    store_away: tuple[float, float] | None = None
    entry_away: tuple[float, float] | None = None
    # State of the VM in the cloud's list from the crash until the process is back.
    vm: VmState | None = VmState.DOWN
    # Another worker is there, or the VM is gone, and the id does not come back.
    vm_worker: str = ""
    vm_gone: bool = False
    # Expected: number of accepted starts, and when the last of them is at the latest.
    starts: int = 2
    started_by: float = 25.0


def listed(name, state=VmState.UP, worker=None):
    return Vm(
        VmId(f"vm-{name}"), PoolName(SERVICE), state, "z", RackId("r"), Resources(),
        WorkerId(name if worker is None else worker),
    )  # fmt: skip


def set_vm(platform, name, vm):
    others = [v for v in platform.vms if v.vm_id != VmId(f"vm-{name}")]
    platform.vms = others if vm is None else [*others, vm]


def events_of(row, platform, name):
    """Return the events of a row with their times."""

    def crash():
        platform.crash(name, row.dark)
        if row.vm_gone:
            set_vm(platform, name, None)
        elif row.vm_worker:
            set_vm(platform, name, listed(name, worker=row.vm_worker))
        elif row.vm is not None:
            set_vm(platform, name, listed(name, row.vm, ""))

    def restart():
        platform.restart(name, row.clock)
        set_vm(platform, name, listed(name))
        if row.entry_away is None:
            platform.write_entry(name)

    async def take_over():
        await platform.end_term()
        await platform.sleep(1.3)
        await platform.lead()

    events = [(row.crash, crash)]
    if row.back is not None:
        events.append((row.back, restart))
    if row.second_crash is not None:
        events += [(row.second_crash, crash), (row.second_back, restart)]
    if row.cut is not None:
        events.append((row.cut, lambda: platform.set_cut(name)))
    if row.take_over is not None:
        events.append((row.take_over, take_over))
    if row.store_away is not None:
        away, back = row.store_away
        events.append((away, lambda: platform.set_store(False)))
        events.append((back, lambda: platform.set_store(True)))
    if row.entry_away is not None:
        away, back = row.entry_away
        events.append((away, lambda: platform.remove_entry(name)))
        events.append((back, lambda: platform.write_entry(name)))
    return sorted(events, key=lambda event: event[0])


async def play(platform, row):
    """Play a row; return the job and when the first start was sent."""
    platform.vms = [listed(name) for name in platform.hosts]
    rule = FateRule("/run-start", row.start, row.start_delay, count=1)
    platform.network.rules.append(rule)
    job = platform.submit(TASK_SECONDS)
    await platform.until(lambda: not rule.count, 2.0)
    begun = platform.now
    (run,) = platform.runs()
    name = str(run.worker)
    for at, event in events_of(row, platform, name):
        await platform.sleep(max(0.0, begun + at - platform.now))
        waiting = event()
        if waiting is not None:
            await waiting
    await platform.sleep(begun + WATCH_SECONDS - platform.now)
    return job, begun


def check(platform, row, job, begun):
    starts = platform.starts(job)
    found = [
        (round(s.at - begun, 2), s.worker, s.body["Run"], s.late) for s in starts
    ]
    assert platform.network.violations == [], found
    assert platform.state(job) is JobState.COMPLETED, found
    assert len(starts) == row.starts, found
    assert starts[-1].at - begun <= row.started_by, found


LATE_START = Row("late", Fate.LATE)
ROWS = [
    replace(LATE_START, label=f"late by {delay} s, clock {clock}", start_delay=delay,
            clock=change)
    for delay in (2.0, 5.0, 11.9)
    for clock, change in (("behind", BEHIND), ("equal", EQUAL), ("ahead", AHEAD))
]


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.label)
def test_unanswered_start(row, monkeypatch):
    async def main(platform):
        check(platform, row, *await play(platform, row))

    run_virtually(main, monkeypatch)
