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
    return job, begun


def check(platform, row, job, begun):
    starts = platform.starts(job)
    found = [(round(s.at - begun, 2), s.worker, s.body["Run"], s.late) for s in starts]
    assert platform.network.violations == [], found
    assert platform.state(job) is JobState.COMPLETED, found
    # A process that this leader has not fenced carries out a start for a former one.
    late = sum(start.late for start in starts)
    assert late <= row.late_starts, found
    assert len(starts) - late == row.starts, found
    assert starts[-1].at - begun <= row.started_by, found


CLOCKS = [("behind", BEHIND), ("equal", EQUAL), ("ahead", AHEAD)]


def with_clocks(*rows):
    """Return each row with each change of the clock."""
    return [
        replace(row, label=f"{row.label}, clock {name}", clock=change)
        for row in rows
        for name, change in CLOCKS
    ]


LATE = Row("late", Fate.LATE, 5.0, starts=1, started_by=1.5)
LOST = Row("lost", Fate.LOST, starts=2, started_by=1.5)
DOUBLED = Row("doubled", Fate.DOUBLED, 5.0, starts=2, started_by=1.5)
ANSWERED = Row("answered", starts=2, started_by=1.5)
# The process ends after it has refused the unanswered start by a stop.
AFTER_STOP = {"crash": 0.8, "back": 1.4, "starts": 2, "started_by": 2.0}
# The worker does not come back, and the start may be carried out by a next process for
# 12 s, with a lease of 10 s.
GIVEN_UP_BY = 24.0

UNANSWERED = with_clocks(
    replace(LATE, label="late by 2 s", start_delay=2.0),
    replace(LATE, label="late by 5 s"),
    replace(LATE, label="late by 11.9 s", start_delay=11.9),
    LOST,
    replace(DOUBLED, label="doubled after 2 s", start_delay=2.0),
    replace(DOUBLED, label="doubled after 11.9 s", start_delay=11.9),
    ANSWERED,
    replace(LATE, label="late, connections closed", dark=False),
    replace(DOUBLED, label="doubled, connections closed", dark=False),
    replace(LATE, label="late, ends after a stop", **AFTER_STOP),
    replace(
        LATE,
        label="late, next process without an entry",
        entry_away=(0.2, 3.0),
        started_by=2.0,
    ),
)
TWO_RESTARTS = with_clocks(
    *(
        replace(
            row,
            label=f"{row.label}, {when}",
            second_crash=crash,
            second_back=back,
            starts=row.starts + (crash > 0.8),
            started_by=back + 0.8,
        )  # fmt: skip
        for row in (LATE, LOST, DOUBLED)
        for when, crash, back in (
            ("second before the first is found", 0.701, 1.0),
            ("second under the next run", 1.5, 2.1),
        )
    ),
    *(
        replace(
            row,
            label=f"{row.label}, second before the fence",
            second_crash=0.8,
            second_back=1.2,
            commit_seconds=0.25,
            started_by=2.5,
        )  # fmt: skip
        for row in (LATE, LOST, DOUBLED)
    ),
)
CUTS = with_clocks(
    *(
        replace(
            row,
            label=f"{row.label}, cut before a report",
            cut=0.701,
            late_starts=1,
            started_by=GIVEN_UP_BY,
        )  # fmt: skip
        for row in (LATE, LOST, DOUBLED, ANSWERED)
    ),
    *(
        replace(
            row,
            label=f"{row.label}, cut before the fence",
            cut=0.8,
            commit_seconds=0.25,
            late_starts=1,
            started_by=GIVEN_UP_BY + 2,
        )  # fmt: skip
        for row in (LATE, LOST, DOUBLED, ANSWERED)
    ),
    *(
        replace(
            row,
            label=f"{row.label}, cut under the next run",
            cut=1.5,
            starts=row.starts + 1,
            started_by=13.0,
        )  # fmt: skip
        for row in (LATE, LOST, DOUBLED)
    ),
)
TAKE_OVERS = with_clocks(
    *(
        replace(
            row,
            label=f"{row.label}, take-over {when}",
            take_over=at,
            back=back,
            started_by=by,
        )  # fmt: skip
        for row in (LATE, LOST, DOUBLED, ANSWERED)
        for when, at, back, by in (
            ("before the restart", 0.3, 2.5, 3.2),
            ("before it is found", 0.701, 0.7, 3.0),
            ("after it is found", 0.75, 0.7, 3.0),
        )
    ),
)
STORE_AWAY = with_clocks(
    *(
        replace(
            row, label=f"{row.label}, store away", store_away=(0.5, 4.0), started_by=5.0
        )
        for row in (
            LATE,
            replace(LATE, label="late by 2.5 s", start_delay=2.5),
            LOST,
            DOUBLED,
            ANSWERED,
        )
    ),
)
VM_LIST = with_clocks(
    *(
        replace(
            row, label=f"{row.label}, VM {name}", back=None, started_by=by, **change
        )
        for row in (LATE, LOST, DOUBLED, ANSWERED)
        for name, by, change in (
            ("gone", 2.0, {"vm_gone": True}),
            ("of another worker", 2.0, {"vm_worker": "w9"}),
        )
    ),
    replace(LATE, label="late, VM down, back", back=4.0, started_by=4.8),
    replace(LOST, label="lost, VM down, back", back=4.0, started_by=4.8),
    replace(ANSWERED, label="answered, VM down", back=None, started_by=2.0),
    replace(LATE, label="late, VM down", back=None, started_by=GIVEN_UP_BY),
    replace(LATE, label="late, VM up", back=None, vm=None, started_by=GIVEN_UP_BY),
)
ENTRY_AWAY = with_clocks(
    *(
        replace(row, label=f"{row.label}, entry away", entry_away=(0.2, 3.0), back=back,
                started_by=3.5)
        for row in (LOST, DOUBLED, ANSWERED)
        for back in (0.7, 2.5)
    ),
)
# The run was listed, and is lost before its start is carried out for the second time.
DOUBLED_LATER = with_clocks(
    replace(DOUBLED, label="doubled later, cut", start_delay=11.9, crash=0.8, back=5.0,
            cut=4.9, vm=None, late_starts=1, started_by=GIVEN_UP_BY),
    replace(DOUBLED, label="doubled later, back just before", start_delay=11.9,
            crash=0.8, back=11.89, late_starts=0, started_by=GIVEN_UP_BY),
)
STORE_AWAY += with_clocks(
    replace(LATE, label="late by 11.9 s, store away, cut", start_delay=11.9,
            store_away=(0.5, 4.0), cut=2.0, late_starts=1,
            started_by=GIVEN_UP_BY + 2),
)


@pytest.mark.parametrize(
    "row",
    [
        *UNANSWERED, *TWO_RESTARTS, *CUTS, *TAKE_OVERS, *STORE_AWAY, *VM_LIST,
        *ENTRY_AWAY, *DOUBLED_LATER,
    ],  # fmt: skip
    ids=lambda row: row.label,
)
def test_start_around_a_restart(row, monkeypatch):
    async def main(platform):
        check(platform, row, *await play(platform, row))

    run_virtually(main, monkeypatch)


@dataclass(frozen=True)
class Case:
    """A scenario of its own, with the expected number of starts of its last job."""

    label: str
    clock: int = BEHIND
    delay: float = 2.0
    starts: int = 2
    started_by: float = 25.0


def cases(*labels, **fields):
    return [
        Case(f"{label}, clock {name}".strip(", "), change, **fields)
        for label in labels or ("",)
        for name, change in CLOCKS
    ]


async def free_worker(platform, busy_seconds=3.0):
    """Occupy one worker for a while; return the name of the other one."""
    platform.submit(busy_seconds)
    await platform.until(platform.runs, 1.0)
    await platform.sleep(0.5)
    (run,) = platform.runs()
    (name,) = [name for name in platform.hosts if name != run.worker]
    return name


@pytest.mark.parametrize("case", cases(), ids=lambda case: case.label)
def test_start_that_a_process_answers_before_it_is_known(case, monkeypatch):
    """The deadline was on the former clock, so the run had a lease of 10 s.

    The worker was taken for lost by the lease of the former process, 6 s.
    """

    async def main(platform):
        name = await free_worker(platform)
        platform.crash(name)
        platform.restart(name, case.clock)
        begun = platform.now
        job = platform.submit(TASK_SECONDS)
        await platform.sleep(0.05)
        platform.set_cut(name)
        await platform.sleep(WATCH_SECONDS)
        starts = platform.starts(job)
        assert platform.network.violations == []
        assert starts[-1].at - begun <= GIVEN_UP_BY
        assert platform.state(job) is JobState.COMPLETED

    run_virtually(main, monkeypatch)


@pytest.mark.parametrize("case", cases(), ids=lambda case: case.label)
def test_start_refused_as_late_is_not_repeated_at_once(case, monkeypatch):
    """Until the restart was found, a clock ahead refused a start each 3 ms."""

    async def main(platform):
        name = await free_worker(platform)
        platform.crash(name)
        platform.restart(name, case.clock)
        platform.submit(TASK_SECONDS)
        await platform.sleep(1.0)
        calls = [c for c in platform.network.calls if c.target == "/run-start"]
        refused = [c for c in calls if c.status == 409]
        assert len(refused) <= 2

    run_virtually(main, monkeypatch)


@pytest.mark.parametrize("case", cases(), ids=lambda case: case.label)
def test_start_under_way_when_its_vm_is_listed_as_down(case, monkeypatch):
    """The run was discarded, and the next process carried out its start."""

    async def main(platform):
        platform.vms = [listed(name) for name in platform.hosts]
        name = await free_worker(platform, busy_seconds=1.0)
        platform.crash(name)
        await platform.sleep(0.02)
        platform.hosts[name].dark = True
        rule = FateRule("/run-start", Fate.LATE, 3.0, count=1)
        platform.network.rules.append(rule)
        job = platform.submit(TASK_SECONDS)
        await platform.until(lambda: not rule.count, 1.0)
        begun = platform.now
        set_vm(platform, name, listed(name, VmState.DOWN, ""))
        platform.controller.scheduler.expire_workers_without_vm(
            platform.vms, platform.now, platform.wall_ms, platform.now
        )
        await platform.sleep(begun + 2.99 - platform.now)
        platform.restart(name, case.clock)
        await platform.sleep(WATCH_SECONDS)
        assert platform.network.violations == []
        assert platform.starts(job)[-1].at - begun <= 4.0

    run_virtually(main, monkeypatch)


@pytest.mark.parametrize("delay", [2.0, 2.05, 2.1])
def test_stop_that_the_former_process_confirmed(delay, monkeypatch):
    """The task started elsewhere beside the late start on the next process.

    The store takes 0.25 s for a commit, so that the fence comes after the late start.
    """

    async def main(platform):
        rule = FateRule("/run-start", Fate.LATE, delay, count=1)
        platform.network.rules.append(rule)
        platform.store.commit_seconds = 0.25
        job = platform.submit(TASK_SECONDS)
        await platform.until(lambda: not rule.count, 2.0)
        begun = platform.now
        ended = []

        def end_after_a_stop(call):
            if call.target == "/run-stop" and not ended:
                ended.append(call.worker)
                # The answer arrives, and the report that follows it is not sent.
                platform.loop.call_later(0.0015, platform.crash, call.worker)

        platform.network.on_call = end_after_a_stop
        await platform.until(lambda: ended, 2.0)
        (name,) = ended
        await platform.sleep(begun + 1.7 - platform.now)
        platform.restart(name, BEHIND)
        await platform.sleep(WATCH_SECONDS)
        assert platform.network.violations == []
        assert platform.state(job) is JobState.COMPLETED

    run_virtually(main, monkeypatch)


@pytest.mark.parametrize("vm", ["up", "down"])
def test_unanswered_start_of_an_earlier_leader(vm, monkeypatch):
    """The successor took the run for lost before the start was carried out."""

    async def main(platform):
        platform.vms = [listed(name) for name in platform.hosts]
        rule = FateRule("/run-start", Fate.LATE, 11.5, count=1)
        platform.network.rules.append(rule)
        job = platform.submit(TASK_SECONDS)
        await platform.until(lambda: not rule.count, 1.0)
        begun = platform.now
        name = str(platform.runs()[0].worker)
        platform.crash(name, dark=True)
        if vm == "down":
            set_vm(platform, name, listed(name, VmState.DOWN, ""))
        await platform.end_term()
        await platform.sleep(1.3)
        await platform.lead()
        await platform.sleep(begun + 11.45 - platform.now)
        # With an unreachable worker, only the time since the start tells that it ended.
        platform.set_cut(name, vm == "up")
        platform.restart(name, BEHIND)
        await platform.sleep(WATCH_SECONDS)
        assert platform.network.violations == []
        assert platform.state(job) is JobState.COMPLETED

    run_virtually(main, monkeypatch)


def fates(target, *, delay):
    return [
        FateRule(target, Fate.LATE, delay, count=1),
        FateRule(target, Fate.LOST, count=1),
        FateRule(target, Fate.DOUBLED, delay, count=1),
    ]


def rule_name(rule):
    return rule.fate.value if isinstance(rule, FateRule) else ""


async def poll_from(platform, name, rule):
    """Wait until a call has the fate of a rule; return when."""
    rule = replace(rule, worker=name)
    platform.network.rules.append(rule)
    await platform.until(lambda: not rule.count, 2.0)
    return platform.now


@pytest.mark.parametrize("clock", [BEHIND, EQUAL, AHEAD], ids=["behind", "equal", "ahead"])
@pytest.mark.parametrize("back", [0.5, 2.4, 2.95], ids="back after {} s".format)
@pytest.mark.parametrize("rule", fates("/hold", delay=3.0), ids=rule_name)
def test_poll_for_the_former_process(rule, back, clock, monkeypatch):
    """It extended the lease of the next process beyond what the leader reckoned with.

    A run that began there went on after the worker, cut off, was taken for lost.
    """

    async def main(platform):
        name = await free_worker(platform)
        sent_at = await poll_from(platform, name, rule)
        await platform.sleep(0.05)
        platform.crash(name, dark=True)
        await platform.sleep(sent_at + back - platform.now)
        platform.restart(name, clock)
        platform.write_entry(name)
        await platform.sleep(0.3)
        job = platform.submit(TASK_SECONDS, count=2)
        await platform.until(lambda: platform.starts(job), 4.0)
        await platform.sleep(0.3)
        platform.set_cut(name)
        cut_at = platform.now
        await platform.sleep(WATCH_SECONDS)
        assert platform.network.violations == []
        assert platform.state(job) is JobState.COMPLETED
        starts = platform.starts(job) + platform.starts(job, 1)
        # The lease of 10 s from the fence, then a worker that has become free.
        assert max(s.at for s in starts) - cut_at <= 12.0 + TASK_SECONDS

    run_virtually(main, monkeypatch)


@pytest.mark.parametrize("late_by", [0.01, 0.5], ids=["before the fence", "after it"])
@pytest.mark.parametrize("fate", [Fate.LATE, Fate.DOUBLED], ids=["late", "doubled"])
def test_acknowledgement_for_the_former_process(fate, late_by, monkeypatch):
    """It made the next process forget ends by the numbers of the former one's ends."""

    async def main(platform):
        platform.submit(60.0)
        await platform.until(platform.runs, 1.0)
        for _ in range(3):
            done = platform.submit(0.2)
            await platform.until(
                lambda job=done: platform.state(job) is JobState.COMPLETED, 3.0
            )
        await platform.sleep(0.5)
        (name,) = {s.worker for s in platform.starts(done)}
        rule = FateRule("/hold", fate, 2.5, count=1)
        sent_at = await poll_from(platform, name, rule)
        assert platform.hosts[name].fake.acknowledged_sequence == 3
        await platform.sleep(0.05)
        platform.crash(name, dark=True)
        await platform.sleep(sent_at + 2.5 - late_by - platform.now)
        platform.restart(name, BEHIND)
        platform.write_entry(name)
        jobs = [platform.submit(0.4) for _ in range(4)]
        await platform.sleep(20.0)
        assert platform.network.violations == []
        for job in jobs:
            assert platform.state(job) is JobState.COMPLETED
            assert len(platform.starts(job)) == 1

    run_virtually(main, monkeypatch)


@pytest.mark.parametrize("clock", [BEHIND, EQUAL, AHEAD], ids=["behind", "equal", "ahead"])
@pytest.mark.parametrize("rule", fates("/run-stop", delay=3.0), ids=rule_name)
def test_stop_for_the_former_process(rule, clock, monkeypatch):
    """The job is cancelled around the restart; its place serves the next one."""

    async def main(platform):
        name = await free_worker(platform, busy_seconds=60.0)
        job = platform.submit(TASK_SECONDS)
        await platform.until(lambda: platform.starts(job), 1.0)
        platform.network.rules.append(rule)
        rule.worker = name
        platform.cancel(job)
        await platform.until(lambda: not rule.count, 1.0)
        platform.crash(name, dark=True)
        await platform.sleep(0.5)
        platform.restart(name, clock)
        platform.write_entry(name)
        following = platform.submit(TASK_SECONDS)
        begun = platform.now
        await platform.sleep(WATCH_SECONDS)
        assert platform.network.violations == []
        assert len(platform.starts(job)) == 1
        (start,) = platform.starts(following)
        assert start.at - begun <= 1.5
        assert platform.state(following) is JobState.COMPLETED

    run_virtually(main, monkeypatch)


@pytest.mark.parametrize("clock", [BEHIND, EQUAL, AHEAD], ids=["behind", "equal", "ahead"])
@pytest.mark.parametrize("delay", [6.0, 11.5])
@pytest.mark.parametrize("process", ["the same", "the next"])
def test_worker_that_was_forgotten_and_is_back(process, delay, clock, monkeypatch):
    """The start of a run that had been stopped was carried out once it was back.

    Its token was that of the term, which the worker then knew of again.
    """

    async def main(platform):
        rule = FateRule("/run-start", Fate.LATE, delay, count=1)
        platform.network.rules.append(rule)
        job = platform.submit(TASK_SECONDS)
        await platform.until(lambda: not rule.count, 1.0)
        begun = platform.now
        name = str(platform.runs()[0].worker)
        # Without an entry it gets no tasks, so the next run is elsewhere.
        platform.remove_entry(name)
        await platform.until(lambda: platform.starts(job), 2.0)
        await platform.sleep(0.2)
        if process == "the next":
            platform.crash(name)
        else:
            platform.set_cut(name)
        workers = platform.controller.scheduler.workers
        await platform.until(lambda: name not in workers, 4.0)
        await platform.sleep(begun + 5.0 - platform.now)
        if process == "the next":
            platform.restart(name, clock)
        platform.set_cut(name, False)
        platform.write_entry(name)
        following = platform.submit(TASK_SECONDS)
        back_at = platform.now
        await platform.sleep(WATCH_SECONDS)
        assert platform.network.violations == []
        assert len(platform.starts(job)) == 1
        assert platform.starts(following)[-1].at - back_at <= 16.0
        assert platform.state(following) is JobState.COMPLETED

    run_virtually(main, monkeypatch)
