"""Numbered log events.

docs/events.md is generated from this table by ``python -m ebonyhub.events``.
"""

import logging as standard_logging
from dataclasses import dataclass
from enum import Enum

from absl import logging


class Severity(Enum):
    """Log level of an event."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class EventSpec:
    """Number, severity and message of one event, and what an operator does about it."""

    number: int
    severity: Severity
    message: str
    advice: str


_I, _W, _E = Severity.INFO, Severity.WARNING, Severity.ERROR


class Event(Enum):
    """Every event that the program logs; numbers of removed events stay unused."""

    ENTRY_STARTED = EventSpec(1001, _I, "entry process started", "None.")
    ENTRY_READY = EventSpec(1002, _I, "entry process ready for callers", "None.")
    SHUTDOWN_STARTED = EventSpec(
        1003,
        _I,
        "shutdown started; readiness check now fails",
        "None if the stop was planned.",
    )
    SHUTDOWN_COMPLETED = EventSpec(1004, _I, "shutdown complete", "None.")
    SUPERVISED_TASK_RESTARTED = EventSpec(
        1101,
        _W,
        "supervised task failed and will be restarted",
        "If it repeats, report the logged error.",
    )
    RESTART_LIMIT_EXCEEDED = EventSpec(
        1102,
        _E,
        "supervised task exceeded its restart limit",
        "Report the logged error; the process exits, unless a parent supervisor "
        "restarts the task.",
    )
    DOCUMENT_APPLIED = EventSpec(1201, _I, "configuration applied", "None.")
    DOCUMENT_REJECTED = EventSpec(
        1202,
        _W,
        "stored document could not be decoded and is ignored",
        "Find out which program wrote it and correct the document.",
    )
    STORE_UNREACHABLE = EventSpec(
        1301, _W, "store unreachable; retrying", "See docs/operators/store-outage.md."
    )
    STORE_RECOVERED = EventSpec(1302, _I, "store reachable again", "None.")
    VM_LIST_UNREACHABLE = EventSpec(
        1303,
        _W,
        "VM list unreachable; using the last list received",
        "Check the platform's VM list service if it persists.",
    )
    CALL_TIMED_OUT = EventSpec(
        1304,
        _W,
        "call had no answer in time; connection closed",
        "If new connections fail, too, check the named address; else the path has "
        "dropped open connections.",
    )
    BACKEND_FAILURE = EventSpec(
        1401, _W, "backend server failed a request", "Check the named backend server."
    )
    REQUEST_FAILED = EventSpec(
        1402, _E, "request failed with an internal error", "Report the logged error."
    )
    RESPONSE_ABORTED = EventSpec(
        1403,
        _W,
        "backend response incomplete; caller connection aborted",
        "Check the named backend server.",
    )
    LEADERSHIP_TAKEN = EventSpec(2001, _I, "leadership taken", "None.")
    LEADERSHIP_LOST = EventSpec(
        2002,
        _W,
        "leadership lost",
        "None if another entry becomes leader; otherwise check the store.",
    )
    LEADER_CHANGED = EventSpec(2003, _I, "leader changed", "None.")
    LEADER_CONNECTION_REFUSED = EventSpec(
        2004,
        _W,
        "connection refused at the leader's address; standing for election",
        "None; an entry takes over leadership.",
    )
    JOB_RECORDS_LOADED = EventSpec(
        2005, _I, "job records loaded at the start of a leader's term", "None."
    )
    CONTROLLER_STARTED = EventSpec(2006, _I, "scheduling controller started", "None.")
    WATCH_HISTORY_COMPACTED = EventSpec(
        2007,
        _W,
        "store compacted the revisions that a watch needs",
        "None; the watch lists all keys again.",
    )
    PEER_STREAM_FAILED = EventSpec(
        2008,
        _W,
        "stream to a peer failed",
        "If it repeats, check the peer and the network.",
    )
    BACKGROUND_TASK_FAILED = EventSpec(
        2009, _E, "background task failed", "Report the logged error."
    )
    RELOAD_REQUESTED = EventSpec(
        2010,
        _I,
        "reload requested; settings are read only at start",
        "Restart the process if its settings have changed.",
    )
    CONTROLLER_CLOSED = EventSpec(
        2011,
        _I,
        "scheduling controller closed its links to the workers",
        "None; each E2006 is followed by one of these.",
    )
    PROGRESS_CONFLICT = EventSpec(
        2012,
        _W,
        "stored progress record differs from the one that the leader replaces",
        "None if it is an own commit whose answer was lost; else report it.",
    )
    CALL_ANSWERED = EventSpec(2101, _I, "call answered", "None.")
    CALL_REFUSED = EventSpec(
        2102, _W, "call refused", "Look up the error kind in docs/OPERATIONS.md."
    )
    CALL_FORWARDED = EventSpec(
        2103,
        _I,
        "call forwarded to a peer",
        "Check this entry's connection to the store.",
    )
    UNKNOWN_KEY_REFUSED = EventSpec(
        2660,
        _W,
        "calls refused for an unknown API key",
        "Compare the time with the last change of keys (E1201); the caller may still "
        "use a removed key.",
    )
    JOB_LOADED = EventSpec(2201, _I, "job loaded into the scheduler", "None.")
    JOB_ENDED = EventSpec(2202, _I, "job ended", "None.")
    RUN_ENDED = EventSpec(2203, _I, "run ended", "None.")
    RUN_STOP_ORDERED = EventSpec(2204, _I, "stop of a run ordered", "None.")
    RUN_LOST = EventSpec(2205, _W, "run not found on its worker", "Check the worker.")
    RUN_START_FAILED = EventSpec(
        2206, _W, "run start failed or has no known outcome", "Check the worker."
    )
    RUN_STARTED = EventSpec(2207, _I, "run started", "None.")
    RUN_THROTTLED = EventSpec(
        2208, _I, "throttle of a best-effort run changed", "None."
    )
    WAIT_CAUSE_CHANGED = EventSpec(
        2209, _I, "cause for which ready tasks wait changed", "None."
    )
    TASK_SUSPECTED = EventSpec(
        2210,
        _W,
        "task may have crashed its worker; it will start alone or in a group",
        "None; E2211 or E2212 tells the result.",
    )
    JOB_GIVEN_UP = EventSpec(
        2211,
        _W,
        "job given up: one of its tasks crashes its workers",
        "Ask the owner of the job to check the named task.",
    )
    SUSPICION_ENDED = EventSpec(2212, _I, "task is no longer suspected", "None.")
    RUN_END_UNKNOWN = EventSpec(
        2213,
        _W,
        "worker lists the end of a run that the leader does not know",
        "None if the job's records have been removed; else report it.",
    )
    RUN_STUCK = EventSpec(
        2214,
        _W,
        "run without progress for longer than allowed; it is stopped",
        "Check the worker; if the task is sound, its estimate is too low.",
    )
    RUN_START_REPEATED = EventSpec(
        2215, _I, "start without an answer sent again to the same process", "None."
    )
    TASK_BOUND = EventSpec(
        2216,
        _I,
        "task waits for the worker that may still carry out an earlier start of it",
        "None; it may start on other workers within 23 s.",
    )
    LONG_RUNNING_TASK_WAITS = EventSpec(
        2217,
        _W,
        "long-running task has no run; what keeps it from the workers of its service",
        "None if no worker has room; else it should start within seconds.",
    )
    RUN_END_HELD = EventSpec(
        2218,
        _I,
        "end of a run is not acknowledged yet, since its task may be started late",
        "None; it is acknowledged within 12 s.",
    )
    RUN_ENDS_RELEASED = EventSpec(
        2219,
        _W,
        "ends acknowledged although a task of theirs may still be started late",
        "If it repeats, find out why starts have no answer.",
    )
    TASK_DELAYED = EventSpec(
        2220,
        _W,
        "long-running task crashes its workers; it will start again later, alone",
        "Ask the owner of the job to check the named task.",
    )
    WORKER_DISCOVERED = EventSpec(2301, _I, "worker discovered in the store", "None.")
    WORKER_DRAINING = EventSpec(2302, _I, "worker is draining", "None.")
    WORKER_ENTRY_REMOVED = EventSpec(2303, _I, "worker's store entry removed", "None.")
    WORKER_EXPIRED = EventSpec(
        2304,
        _W,
        "worker considered lost; the runs that cannot go on or start are discarded",
        "Check the worker.",
    )
    WORKER_RESTARTED = EventSpec(
        2305, _W, "worker process restarted", "Check the worker."
    )
    WORKER_QUARANTINED = EventSpec(
        2306,
        _W,
        "worker quarantined after task failures, slow tasks or a stuck task",
        "Check the worker; the logged cause says which of these it was.",
    )
    WORKER_UNREACHABLE = EventSpec(
        2307, _W, "worker does not answer", "Check the worker and the network."
    )
    WORKER_REACHABLE = EventSpec(2308, _I, "worker answers again", "None.")
    WORKER_ENTRY_UNREADABLE = EventSpec(
        2309,
        _W,
        "worker's store entry could not be decoded and is ignored",
        "Find out which program wrote it and correct the entry.",
    )
    WORKER_CAPACITY_CHANGED = EventSpec(
        2310, _I, "worker's capacity changed while it runs", "None."
    )
    WORKER_LEASE_TOO_LONG = EventSpec(
        2311,
        _W,
        "poll granted a worker a longer lease than intended, since its clock was "
        "another than known",
        "None; the worker has most likely restarted.",
    )
    WAVE_RECEIVED = EventSpec(2401, _I, "maintenance wave received", "None.")
    WAVE_COMPLETED = EventSpec(2402, _I, "maintenance wave completed", "None.")
    WAVE_REOPENED = EventSpec(
        2408, _I, "VM of a completed wave has appeared; the wave goes on", "None."
    )
    VM_MOVE_PLANNED = EventSpec(2403, _I, "VM move planned", "None.")
    VM_MAINTENANCE_PLANNED = EventSpec(2404, _I, "VM maintenance planned", "None.")
    VM_CHANGE_ORDERED = EventSpec(2405, _I, "VM change ordered", "None.")
    VM_CHANGE_ABANDONED = EventSpec(2406, _I, "VM change abandoned", "None.")
    POOL_TARGET_CHANGED = EventSpec(2407, _I, "pool size or target changed", "None.")
    JOB_NOT_ADMITTED = EventSpec(
        2105,
        _I,
        "job refused because it would finish too late to be useful",
        "Check the size of the service's pool; more VMs admit more jobs.",
    )
    JOB_IDS_WITHDRAWN = EventSpec(
        2106,
        _I,
        "cancels of unknown jobs stored; submissions under their ids are refused",
        "None.",
    )
    PLATFORM_ANSWER_UNREADABLE = EventSpec(
        2502,
        _W,
        "platform answer could not be decoded; it counts as lost",
        "Compare its fields with docs/platform.md.",
    )
    INPUT_REJECTED = EventSpec(
        2503,
        _W,
        "input from another program could not be used and was left out",
        "Find the writer of the named key or stream; ebonyhub_inputs_rejected_total "
        "counts repetitions.",
    )
    BATCH_HANDLER_FAILED = EventSpec(
        2504,
        _E,
        "a change from the store could not be applied and was left out",
        "Report it with the key and its value; this is a fault of the program.",
    )
    JOB_PROGRESS_UNREADABLE = EventSpec(
        2505,
        _E,
        "progress of a job cannot be used; the job is not loaded",
        "Find what wrote the record. The job starts nothing until a readable record "
        "replaces it; cancel it by removing its records.",
    )
    INPUT_PARTLY_REJECTED = EventSpec(
        2510,
        _W,
        "a part of a platform answer could not be read and is not used",
        "Compare its fields with docs/platform.md.",
    )
    CONFIGURATION_FETCHED = EventSpec(
        2601, _I, "configuration fetched from a peer", "None."
    )
    CONFIGURATION_FETCH_FAILED = EventSpec(
        2602,
        _W,
        "configuration could not be fetched from a peer; it is tried again",
        "If it repeats, check the link between the two entries; the peer may run "
        "another version of the program.",
    )
    CONFIGURATION_STALE = EventSpec(
        2603,
        _W,
        "no news of the configuration for too long; calls with keys are refused",
        "Check this entry's connections to the store and to the leader.",
    )
    CONFIGURATION_CURRENT = EventSpec(
        2604, _I, "configuration known to be the newest again", "None."
    )
    CAPACITY_SHORT = EventSpec(
        2640,
        _I,
        "waiting work of a service can make jobs late; entries refuse by cost",
        "Check the size of the service's pool and whether its workers respond.",
    )
    CAPACITY_SUFFICIENT = EventSpec(
        2641, _I, "waiting work of a service makes no job late any more", "None."
    )
    JOB_RECORDS_REMOVED = EventSpec(
        2501, _I, "records of finished jobs removed", "None."
    )
    WORKSPACE_AT_LIMIT = EventSpec(
        2620,
        _I,
        "tasks of a workspace wait for its limit",
        "None; raise the limit if the workspace needs more.",
    )
    WORKSPACE_BELOW_LIMIT = EventSpec(
        2621, _I, "tasks of a workspace no longer wait for its limit", "None."
    )
    WORKSPACE_OVER_RATE = EventSpec(
        2622,
        _I,
        "workspace sends more jobs per second than its weight; the excess comes last",
        "None; raise the weight if the workspace is entitled to more.",
    )
    WORKSPACE_WITHIN_RATE = EventSpec(
        2623, _I, "workspace sends no more jobs per second than its weight", "None."
    )
    WORKSPACE_SHARE_EXHAUSTED = EventSpec(
        2624,
        _I,
        "workspace uses its whole share of a service that is short of capacity",
        "None; more VMs or a higher weight give it more.",
    )
    WORKSPACE_WITHIN_SHARE = EventSpec(
        2625, _I, "no task of the workspace waits for its share any more", "None."
    )
    WORKSPACE_HOLD_BEGUN = EventSpec(
        2626,
        _I,
        "tasks of a workspace are held back for a larger one that they had passed",
        "None; raise the limit if this happens often.",
    )
    WORKSPACE_HOLD_ENDED = EventSpec(
        2627, _I, "tasks of a workspace are held back no longer", "None."
    )


# The absl logger takes the levels of the standard logging module.
_LEVELS = {
    Severity.INFO: standard_logging.INFO,
    Severity.WARNING: standard_logging.WARNING,
    Severity.ERROR: standard_logging.ERROR,
}


def log_event(event: Event, **fields: object) -> None:
    """Log ``event`` with ``fields`` as key=value pairs.

    Builds the record directly: the event number identifies the call site, and the
    logger's stack walk to find the caller would double the cost of the call.
    """
    spec = event.value
    logger = logging.get_absl_logger()
    level = _LEVELS[spec.severity]
    if not logger.isEnabledFor(level):
        return
    details = " ".join([f"{name}={value}" for name, value in fields.items()])
    message = f"E{spec.number} {spec.message}: {details}"
    record = standard_logging.LogRecord(
        logger.name, level, __file__, 0, message, None, None, "log_event"
    )
    logger.handle(record)


def render_catalogue() -> str:
    """Return the Markdown catalogue of all events, ordered by number."""
    rows = sorted((event.value for event in Event), key=lambda spec: spec.number)
    lines = [
        "# Log events",
        "",
        "Generated by `python -m ebonyhub.events`.",
        "",
        "| number | severity | message | what an operator does |",
        "|---|---|---|---|",
    ]
    lines += [
        f"| E{spec.number} | {spec.severity.value} | {spec.message} | {spec.advice} |"
        for spec in rows
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(render_catalogue(), end="")
