"""Generated answers, submissions and settings.

Guards against input that raises at its boundary, or that is accepted there and raises
where it is used or stored. The examples are derived from the tests, see conftest.py.
"""

import json
from math import isfinite

import msgspec
from hypothesis import example, given, settings
from hypothesis import strategies as st

from ebonyhub.ids import JobId, LeaderToken, TaskId, VmId, WorkerId
from ebonyhub.jobs.model import AcceptedJob, JobSpec, Resources, StepSpec, due_tasks
from ebonyhub.jobs.records import ProgressRecord
from ebonyhub.platform.settings import decode_node_settings
from ebonyhub.platform.submissions import decode_submission
from ebonyhub.platform.worker_reports import decode_report
from standins.emulator import QUEUE, SERVICE
from standins.job_platform import node_settings_text
from tests.test_decoders_fuzz import replace_at, value_paths
from tests.test_foreign_answers import advisor_client, cloud_client, worker_client
from tests.test_scheduler import Driver

EXAMPLES = 400
JOB = JobId("0123456789abcdef")
NAME = f"{JOB}.0.0.1"
DEPTHS = st.sampled_from([1, 500, 5000, 100_000])

scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-3, 3),
    st.sampled_from([10**9, 2**31, 2**53, 2**53 + 1, 2**63, 2**64, 2**70, 10**400]),
    st.integers(-(2**80), 2**80),
    st.floats(),
    st.sampled_from(["", "²", "-1", "\u0000", "٣", "done", "up", NAME, f"{JOB}.0.9.1"]),
    st.text(max_size=20),
    st.just("x" * 5000),
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=5), inner)
    ),
    max_leaves=6,
)


def paths_of(document):
    children = [path for path in value_paths(document) if path]
    return st.lists(st.tuples(st.sampled_from(children), values), max_size=3)


@st.composite
def changed(draw, document):
    """Return the document with up to three values replaced."""
    for path, new in draw(paths_of(document)):
        try:
            document = replace_at(document, path, new)
        except (IndexError, KeyError, TypeError):
            continue
    return document


@st.composite
def bodies(draw, document):
    """Return a changed document as JSON, or damaged or deeply nested bytes."""
    kind = draw(st.sampled_from(["changed"] * 6 + ["damaged", "deep"]))
    data = json.dumps(draw(changed(document))).encode()
    if kind == "damaged":
        at = draw(st.integers(0, len(data)))
        return data[:at] + draw(st.binary(max_size=4)) + data[at + 1 :]
    if kind == "deep":
        opening = draw(st.sampled_from([b"[", b'{"a":']))
        at = draw(st.sampled_from([n for n, c in enumerate(data) if c in b":["]))
        return data[: at + 1] + opening * draw(DEPTHS)
    return data


def survives(value):
    """Assert that records and answers can hold the value."""
    assert msgspec.msgpack.encode(value)
    assert msgspec.json.encode(value)


HOLD = {
    "ClockMs": 5000,
    "born": 1,
    "Running": [[NAME, 1, "", 40, 3], [f"{JOB}.0.0.0", 1, "c", 100, 900]],
    "Finished": [
        [1, f"{JOB}.0.0.2", 1, "done", ""],
        [2, f"{JOB}.0.0.3", 1, "failed", "c"],
    ],
}  # fmt: skip


@settings(max_examples=EXAMPLES)
@given(bodies(HOLD), bodies(HOLD))
@example(b'{"ClockMs":5,"Running":[["0123456789abcdef.0.9.1",1,"",1,1]]}', b"")
async def test_reports(first, second):
    """A report of any content leaves the scheduler able to go on and to store."""
    driver = Driver(("w1",))
    spec = JobSpec("t", (StepSpec(5, Resources(1000, 1), 300),))
    accepted = AcceptedJob(JOB, QUEUE, SERVICE, 3, 10_000, spec)
    driver.scheduler.load_job(accepted, None, False, driver.now, 10_000)
    driver.start_all()
    for body in (first, second):
        driver.wait(1.0)
        result = decode_report(body)
        polled = await worker_client(body).poll(LeaderToken(1), 0, None, 0.0)
        assert polled.is_ok() == result.is_ok()
        if result.is_error():
            assert len(result.error) < 1000
            continue
        report = result.ok
        survives(report)
        assert all(isfinite(row.percent + row.usage) for row in report.running)
        now, worker = driver.now, driver.worker("w1")
        driver.scheduler.handle_report(worker, report, now, now, int(now * 1000))
        survives(worker.process.clock_now_ms(now) + 6000)
        driver.tick()
        driver.scheduler.plan(driver.now)
    record = driver.scheduler.jobs[JOB].progress
    msgspec.msgpack.decode(msgspec.msgpack.encode(record), type=ProgressRecord)


@settings(max_examples=EXAMPLES)
@given(bodies({"ClockMs": 5, "Reason": "fence"}), st.sampled_from([200, 400, 409, 421]))
async def test_answers_to_orders(body, status):
    task = TaskId(JOB, 0, 0, 1)
    await worker_client(body, status).stop(task, 1, LeaderToken(1))
    await cloud_client(body, status=status).move_vm(VmId("m"), "p", LeaderToken(1))


MACHINE = {
    "Machine": "m", "Pool": "p", "State": "up", "Zone": "z", "Labels": ["k", "r"],
    "Capacity": {"Cpu": 1, "MemMb": 1, "Gpu": 0}, "Id": "w",
}  # fmt: skip
LISTING = {"Machines": [MACHINE, {**MACHINE, "Machine": "n"}], "NextPageToken": None}


@settings(max_examples=EXAMPLES)
@given(bodies(LISTING), bodies(LISTING))
async def test_listings(first, second):
    cloud = cloud_client(first, second)
    for _ in range(2):
        result = await cloud.list_vms()
        if result.is_ok():
            survives(result.ok)
            assert len({vm.vm_id for vm in result.ok.vms}) == len(result.ok.vms)
            assert sum((vm.capacity for vm in result.ok.vms), Resources()).cpu >= 0


@settings(max_examples=EXAMPLES)
@given(bodies({"Good": [["w", "t"], ["v", "u"]]}))
async def test_advice(body):
    advisor = advisor_client(body)
    result = await advisor.advise(JOB, 0, 0, [WorkerId("w"), WorkerId("v")], 0.1)
    if result.is_ok():
        survives(result.ok)
        assert set(result.ok) <= {"w", "v"}


SUBMISSION = {
    "Spec": "t",
    "Steps": [
        {"Count": 2, "Cpu": 100, "MemMb": 1, "Gpu": 0, "EstimatedMs": 10, "Image": "i"},
        {"Count": 1, "After": [0], "AntiAffinity": 1, "MayMiss": 1, "TargetMs": 5,
         "RequiredLabel": "k", "DataRack": "r", "Gang": True},
    ],
    "RepeatCount": 3, "FirstRunMs": 10_000, "IntervalMs": 500,
}  # fmt: skip


@settings(max_examples=EXAMPLES)
@given(bodies(SUBMISSION))
def test_submissions(body):
    """An accepted job can be stored, estimated, loaded and planned."""
    result = decode_submission(body)
    if result.is_error():
        assert len(result.error) < 1000
        return
    spec = result.ok
    accepted = AcceptedJob(JOB, QUEUE, SERVICE, 3, 10_000, spec)
    survives(accepted)
    survives(spec.due_ms(spec.repeat_count))
    assert isfinite(spec.critical_path_seconds)
    assert isfinite(sum(step.core_seconds for step in spec.steps))
    driver = Driver()
    if due_tasks(spec, 10_000) > 1000:
        return
    driver.scheduler.load_job(accepted, None, False, driver.now, 10_000)
    driver.start_all()
    driver.tick()
    survives(driver.scheduler.jobs[JOB].progress)


@settings(max_examples=EXAMPLES)
@given(changed(json.loads(node_settings_text("e", "127.0.0.1", "127.0.0.1:1", (1, 2)))))
def test_settings_files(data):
    result = decode_node_settings(data)
    if result.is_error():
        assert "\n" not in result.error
        return
    assert isfinite(result.ok.effective_cores)
    assert result.ok.capacity_valid_seconds >= 0
    assert 1 <= result.ok.peer_port <= 65535
