"""Workers that restart under their ids, with calls that are late, lost or doubled.

Guards against what one process of a worker was sent, told or was believed of it, and
that is kept for or forgotten at the next process: two runs of a task at the same time,
an end that is lost, and a task that does not start again.

The real controller runs in virtual time. Clocks of the next process are far behind, the
same or far ahead; calls without an answer are carried out up to 12 s later.
"""

from dataclasses import dataclass, replace

import pytest

from ebonyhub.fleet.model import Vm, VmState
from ebonyhub.ids import PoolName, RackId, VmId, WorkerId
from ebonyhub.jobs.model import Resources
from ebonyhub.jobs.records import JobState
from standins.emulator import SERVICE
from tests.virtual_network import Fate, FateRule
from tests.worker_process_driver import run_virtually

# Change of the clock in ms from one process to the next.
BEHIND, EQUAL, AHEAD = -50_000_000, 0, 50_000_000
TASK_SECONDS = 15.0
# Seconds for which a platform is watched at least. Late calls come for 12 s, and leases
# last 10 s.
WATCH_SECONDS = 25.0
# The process carries out the start within 12 s and holds its lease for 10 s; the task
# starts elsewhere after that.
GIVEN_UP_BY = 24.0


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
    # Time that the store takes for a commit.
    commit_seconds: float = 0.0
    entry_away: tuple[float, float] | None = None
    # State of the VM in the cloud's list from the crash until the process is back.
    vm: VmState | None = VmState.DOWN
    # Another worker is there, or the VM is gone, and the id does not come back.
    vm_worker: str = ""
    vm_gone: bool = False
    # Expected: number of starts that were carried out in time, of those that may be
    # carried out late, and when the last of them is at the latest.
    starts: int = 2
    late_starts: int = 0
    # The run of a late start is the last one of the task.
    is_late_run_kept: bool = False
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
    platform.store.commit_seconds = row.commit_seconds
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
    await platform.until(
        lambda: platform.state(job) is JobState.COMPLETED, GIVEN_UP_BY + TASK_SECONDS
    )
    return job, begun


def check(platform, row, job, begun):
    starts = platform.starts(job)
    found = [(round(s.at - begun, 2), s.worker, s.body["Run"], s.late) for s in starts]
    assert platform.network.violations == [], found
    assert platform.state(job) is JobState.COMPLETED, found
    # A process that this leader has not fenced carries out a start for a former one.
    late = sum(start.late for start in starts)
    if row.is_late_run_kept and not late:
        # Refused by a clock that is not behind, so the task starts again.
        row = replace(row, starts=row.starts + 1, started_by=GIVEN_UP_BY)
    assert late <= row.late_starts, found
    assert len(starts) - late == row.starts, found
    assert starts[-1].at - begun <= row.started_by, found


CLOCKS = [("behind", BEHIND), ("equal", EQUAL), ("ahead", AHEAD)]


def each(rows, what, **fields):
    """Return each row with other fields, and with them in its label."""
    return [replace(row, label=f"{row.label}, {what}", **fields) for row in rows]


LATE = Row("late", Fate.LATE, 5.0, starts=1, started_by=1.5)
LOST = Row("lost", Fate.LOST, starts=2, started_by=1.5)
DOUBLED = Row("doubled", Fate.DOUBLED, 5.0, starts=2, started_by=1.5)
ANSWERED = Row("answered", starts=2, started_by=1.5)
UNANSWERED = [LATE, LOST, DOUBLED]
ALL = [*UNANSWERED, ANSWERED]

ONE_RESTART = [
    *each([LATE, DOUBLED], "by 2 s", start_delay=2.0),
    *each([LATE, DOUBLED], "by 11.9 s", start_delay=11.9),
    *each(ALL, "by 5 s"),
    *each(ALL, "connections closed", dark=False),
    # The process ends after it has refused the unanswered start by a stop.
    *each([LATE], "after a stop", crash=0.8, back=1.4, starts=2, started_by=2.0),
]
TWO_RESTARTS = [
    *each(UNANSWERED, "second before the first is found", second_crash=0.701,
          second_back=1.0, started_by=1.8),
    *each(UNANSWERED, "second before the fence", second_crash=0.8, second_back=1.2,
          commit_seconds=0.25, started_by=2.5),
    *[
        replace(row, starts=row.starts + 1)
        for row in each(UNANSWERED, "second under the next run", second_crash=1.5,
                        second_back=2.1, started_by=2.9)
    ],
]  # fmt: skip
CUTS = [
    *each(ALL, "cut before a report", cut=0.701, late_starts=1,
          started_by=GIVEN_UP_BY),
    *each(ALL, "cut before the fence", cut=0.8, commit_seconds=0.25, late_starts=1,
          started_by=GIVEN_UP_BY + 2.0),
    *[
        replace(row, starts=row.starts + 1)
        # Yet another process may carry out the start behind the cut.
        for row in each(UNANSWERED, "cut under the next run", cut=1.5,
                        started_by=GIVEN_UP_BY)
    ],
]  # fmt: skip
TAKE_OVERS = [
    *each(ALL, "take-over before the restart", take_over=0.3, back=2.5,
          started_by=3.2),
    *each(ALL, "take-over before it is found", take_over=0.701, started_by=3.0),
    *each(ALL, "take-over after it is found", take_over=0.75, started_by=3.0),
    *each(ALL, "take-over, store away", take_over=0.75, store_away=(0.5, 0.74),
          started_by=3.0),
]  # fmt: skip
STORE_AWAY = [
    *each(ALL, "store away", store_away=(0.5, 4.0), started_by=5.0),
    *each([LATE, DOUBLED], "by 2.5 s, store away", start_delay=2.5,
          store_away=(0.5, 4.0), started_by=5.0),
    *each([LATE], "by 11.9 s, store away, cut", start_delay=11.9,
          store_away=(0.5, 4.0), cut=2.0, late_starts=1,
          started_by=GIVEN_UP_BY + 2.0),
]  # fmt: skip
VM_LIST = [
    *each(ALL, "VM gone", back=None, vm_gone=True, started_by=2.0),
    *each(ALL, "VM of another worker", back=None, vm_worker="w9", started_by=2.0),
    *each(ALL, "VM down, back", back=4.0, started_by=4.8),
    *each([ANSWERED], "VM down", back=None, started_by=2.0),
    *each(UNANSWERED, "VM down", back=None, started_by=GIVEN_UP_BY),
    *each(UNANSWERED, "VM up", back=None, vm=None, started_by=GIVEN_UP_BY),
]
ENTRY_AWAY = [
    *each(ALL, "entry away", entry_away=(0.2, 3.0), started_by=3.5),
    *each(ALL, "entry away, back later", entry_away=(0.2, 3.0), back=2.5,
          started_by=3.5),
]  # fmt: skip
# The run was listed, and is lost before its start is carried out for the second time.
DOUBLED_LATER = [
    *each([DOUBLED], "later, cut", start_delay=11.9, crash=0.8, back=5.0, cut=4.9,
          vm=None, late_starts=1, started_by=GIVEN_UP_BY),
    # No call reaches the process before the start, so that goes on there.
    *each([DOUBLED], "later, back just before", start_delay=11.9, crash=0.8,
          back=11.89, starts=1, late_starts=1, is_late_run_kept=True,
          started_by=12.0),
]  # fmt: skip
ROWS = [
    replace(row, label=f"{row.label}, clock {name}", clock=change)
    for rows in (ONE_RESTART, TWO_RESTARTS, CUTS, TAKE_OVERS, STORE_AWAY, VM_LIST,
                 ENTRY_AWAY, DOUBLED_LATER)
    for row in rows
    for name, change in CLOCKS
]  # fmt: skip


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row.label)
def test_start_around_a_restart(row, monkeypatch):
    async def main(platform):
        check(platform, row, *await play(platform, row))

    run_virtually(main, monkeypatch)
