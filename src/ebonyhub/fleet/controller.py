"""Runs the fleet planner on the VM list and sends its changes to the cloud."""

import asyncio
from collections.abc import Callable, Mapping
from math import inf

import msgspec

from ..clock import Clock
from ..cluster.leadership import LEADER_KEY, Term
from ..cluster.metadata_store import ABSENT, Item, MetadataStore, Transaction, Write
from ..configuration import Configuration
from ..decoding import Count, try_decode
from ..events import Event, log_event
from ..ids import PoolName, Revision, VmId, WaveId, WorkerId
from ..platform.cloud import CloudClient, CloudFailure
from ..platform.config import encode_wave_status, wave_number
from ..rejections import InputSource, Rejections
from .changes import VmChange, WaveState
from .demand import Demand
from .model import FleetLoad, Vm, Wave
from .planner import FleetPlanner

PLAN_INTERVAL_SECONDS = 0.2
# Interval of the VM list, while changes are under way and otherwise.
ACTIVE_LIST_INTERVAL_SECONDS = 0.5
IDLE_LIST_INTERVAL_SECONDS = 2.0
# Prefix of the keys that hold the progress of each wave.
WAVE_PROGRESS_PREFIX = "eb/w/"

# Time after which a request that got no answer is not carried out any more.
LATE_REQUEST_SECONDS = 12.0

_RETRYABLE = frozenset({CloudFailure.REFUSED, CloudFailure.UNKNOWN})

LoadReader = Callable[[], FleetLoad]
DemandReader = Callable[[], Mapping[PoolName, Demand]]


class WaveProgress(msgspec.Struct, array_like=True):
    """Stored progress of a wave, from which a new leader resumes it.

    A VM is added to ``ordered`` before the request for its maintenance is sent.
    """

    begun: set[VmId]
    ordered: set[VmId]
    # VMs that were listed at some time; one that is missing later has left.
    seen: set[VmId] = msgspec.field(default_factory=set)
    # When the wave is due, in ms since 1970; 0 in records of earlier versions.
    due_ms: Count = 0
    # Whether the status for operators says that the wave is completed.
    completed: bool = False


_decode_wave_progress = msgspec.msgpack.Decoder(WaveProgress).decode


def _encode_progress(wave: WaveId, record: WaveProgress) -> tuple[str, bytes]:
    """Return the key and value of a wave's stored progress."""
    return f"{WAVE_PROGRESS_PREFIX}{wave}", msgspec.msgpack.encode(record)


class FleetController:
    """Moves and maintenance of VMs during one term of leadership."""

    def __init__(
        self,
        term: Term,
        store: MetadataStore,
        cloud: CloudClient,
        clock: Clock,
        read_loads: LoadReader,
        read_demands: DemandReader,
        on_cordoned: Callable[[set[VmId]], None],
        on_vms_listed: Callable[[list[Vm], float], None],
        has_silent_worker: Callable[[], bool],
        rejections: Rejections | None = None,
    ) -> None:
        self.term = term
        self.store = store
        self.cloud = cloud
        self.clock = clock
        self.read_loads = read_loads
        self.read_demands = read_demands
        self.on_cordoned = on_cordoned
        # Called with each list of the VMs and the time at which it was requested.
        self.on_vms_listed = on_vms_listed
        # Whether a worker with runs does not answer; the VM list is then read earlier,
        # since the state of its VM may show that the runs have ended.
        self.has_silent_worker = has_silent_worker
        self.rejections = rejections or Rejections()
        self.planner = FleetPlanner()
        self.next_list_at = 0.0
        self.listed_at = 0.0
        self.revisions: dict[str, Revision] = {}
        self.stored_progress: dict[WaveId, WaveProgress] = {}
        # When each wave is due, in ms since 1970.
        self.due_ms: dict[WaveId, int] = {}
        # Progress that an earlier leader stored. A wave may become known only after it
        # was read; begun anew, it would request its maintenance a second time.
        self.inherited_progress: dict[WaveId, Item] = {}
        self.request_tasks: set[asyncio.Task[None]] = set()

    def configure(self, configuration: Configuration) -> None:
        """Set the pools and the standby pools from the services."""
        self.planner.pool_names = {PoolName(name) for name in configuration.services}
        self.planner.standby_pools = {
            PoolName(name) for name, s in configuration.services.items() if s.standby
        }

    def add_wave(self, wave: Wave) -> None:
        """Add an operator's wave to the planner."""
        is_known = wave.wave_id in self.planner.waves
        now = self.clock.monotonic()
        if not self.planner.add_wave(wave, now):
            return
        seconds_left = self.planner.waves[wave.wave_id].due_at - now
        self.due_ms[wave.wave_id] = int((self.clock.wall() + seconds_left) * 1000)
        if self.planner.wave_planner.has_unlisted_vms(wave.wave_id):
            self.next_list_at = 0.0
        if is_known:
            return
        item = self.inherited_progress.get(wave.wave_id)
        if item is not None:
            self._resume_wave(item)

    def handle_worker_registered(
        self, vm: VmId, pool: PoolName, worker: WorkerId
    ) -> None:
        """Let the VM take tasks again if the registration ends a change of it."""
        if self.planner.mark_arrived(vm, pool, worker, self.clock.monotonic()):
            self.on_cordoned(self.planner.cordoned_vms())

    async def run(self) -> None:
        """Plan changes and request them from the cloud until cancelled."""
        try:
            await self._load_wave_progress()
            while True:
                try:
                    await self._plan_once()
                except Exception as error:
                    # Without moves and waves, jobs still run.
                    log_event(
                        Event.BACKGROUND_TASK_FAILED, task="fleet", error=repr(error)
                    )
                await asyncio.sleep(PLAN_INTERVAL_SECONDS)
        finally:
            for task in self.request_tasks:
                task.cancel()

    async def _load_wave_progress(self) -> None:
        """Resume the waves from the progress that an earlier leader has stored."""
        while True:
            listed = await self.store.list(WAVE_PROGRESS_PREFIX)
            if listed.is_ok():
                break
            await asyncio.sleep(PLAN_INTERVAL_SECONDS)
        for item in listed.ok.items:
            self._resume_wave(item)

    def _resume_wave(self, item: Item) -> None:
        """Resume a wave from its stored progress.

        If that cannot be read, the wave begins anew once requests of earlier leaders
        cannot be carried out any more; the cloud repeats no maintenance of a wave.
        """
        self.revisions[item.key] = item.revision
        wave = wave_number(item.key, WAVE_PROGRESS_PREFIX)
        if wave is None:
            self._reject(item, "the key names no wave")
            return
        self.inherited_progress[wave] = item
        state = self.planner.waves.get(wave)
        if state is None or item.value is None:
            return
        now = self.clock.monotonic()
        decoded = try_decode(_decode_wave_progress, item.value)
        if decoded.is_error():
            self._reject(item, decoded.error)
            state.not_before = now + LATE_REQUEST_SECONDS
            return
        vms = set(state.wave.vms)
        stored = decoded.ok
        begun, ordered, seen = stored.begun & vms, stored.ordered & vms, stored.seen
        self.planner.resume_wave(wave, begun, ordered, now, seen & vms)
        state.completed = stored.completed
        if stored.due_ms > 0:
            due_at = now + stored.due_ms / 1000 - self.clock.wall()
            state.due_at = min(state.due_at, due_at)
            self.due_ms[wave] = stored.due_ms
        self.stored_progress[wave] = msgspec.structs.replace(
            stored, begun=begun, ordered=ordered, seen=seen & vms
        )

    def _reject(self, item: Item, error: str) -> None:
        self.rejections.add(InputSource.WAVE, item.key, item.value, error)

    async def _plan_once(self) -> None:
        now = self.clock.monotonic()
        if self.has_silent_worker():
            self.next_list_at = min(
                self.next_list_at, self.listed_at + ACTIVE_LIST_INTERVAL_SECONDS
            )
        if now >= self.next_list_at:
            await self._list_vms()
        now = self.clock.monotonic()
        if not self.term.is_valid(now) or not self.planner.vms:
            return
        self.planner.fleet_load = self.read_loads()
        changes = self.planner.plan(self.read_demands(), now)
        self.on_cordoned(self.planner.cordoned_vms())
        await self._store_wave_progress()
        for change in changes:
            if not self._may_request(change):
                self.planner.mark_refused(change, "not stored", True, now)
                continue
            task = asyncio.create_task(self._request_change(change))
            self.request_tasks.add(task)
            task.add_done_callback(self._request_done)

    def _may_request(self, change: VmChange) -> bool:
        """Return whether this entry leads and a successor would know of the request."""
        if not self.term.is_valid(self.clock.monotonic()):
            return False
        if change.wave is None:
            return True
        record = self.stored_progress.get(change.wave)
        return record is not None and change.vm in record.ordered

    def _request_done(self, task: asyncio.Task[None]) -> None:
        self.request_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(
                Event.BACKGROUND_TASK_FAILED, task="cloud", error=repr(task.exception())
            )

    async def _list_vms(self) -> None:
        requested_at = self.clock.monotonic()
        # May be set to an earlier time while the list is being read.
        self.next_list_at = inf
        try:
            listed = await self.cloud.list_vms()
        finally:
            now = self.clock.monotonic()
            pause = (
                ACTIVE_LIST_INTERVAL_SECONDS
                if self.planner.changes
                else IDLE_LIST_INTERVAL_SECONDS
            )
            self.next_list_at = min(self.next_list_at, now + pause)
        self.listed_at = now
        if listed.is_ok():
            listing = listed.ok
            self.planner.update_vms(listing.vms, now, requested_at, listing.complete)
            self.on_vms_listed(listing.vms, requested_at)

    async def _request_change(self, change: VmChange) -> None:
        """Request a change of an empty VM from the cloud and handle the answer."""
        if change.wave is not None:
            result = await self.cloud.start_maintenance(
                change.vm, change.wave, self.term.token
            )
        else:
            assert change.pool is not None
            result = await self.cloud.move_vm(change.vm, change.pool, self.term.token)
        now = self.clock.monotonic()
        log_event(
            Event.VM_CHANGE_ORDERED,
            vm=change.vm,
            pool=change.pool,
            wave=change.wave,
            outcome=result.error.value if result.is_error() else "accepted",
        )
        self.next_list_at = min(self.next_list_at, now + ACTIVE_LIST_INTERVAL_SECONDS)
        if result.is_ok():
            self.planner.mark_accepted(change, now)
            return
        if result.error is CloudFailure.FENCED:
            self.term.ended = True
        change.outcome_unknown = (
            change.outcome_unknown or result.error is CloudFailure.UNKNOWN
        )
        # A refused VM that stayed cordoned would count towards the limit of its wave
        # until it is up again. After a request without an answer it must count, since
        # that request may be what makes the VM busy.
        retry = result.error in _RETRYABLE or change.outcome_unknown
        self.planner.mark_refused(change, result.error.value, retry, now)

    async def _store_wave_progress(self) -> None:
        """Store the progress of the waves, and their status for operators."""
        for wave, state in self.planner.waves.items():
            if state.completed or self.clock.monotonic() < state.not_before:
                # While an unreadable record is waited for, it stays, since a successor
                # has to wait for it, too.
                continue
            record, stored = self._progress_of(state), self.stored_progress.get(wave)
            if stored == record:
                continue
            rows = [_encode_progress(wave, record)]
            if stored is None or stored.completed:
                rows.append(encode_wave_status(wave, completed=False))
            if await self._commit(rows):
                self.stored_progress[wave] = record
        for state in self.planner.finished_waves(self.clock.monotonic()):
            await self._store_completion(state)

    async def _store_completion(self, state: WaveState) -> None:
        """Store that a wave is completed, unless it changes meanwhile."""
        wave = state.wave
        record = msgspec.structs.replace(self._progress_of(state), completed=True)
        rows = [
            _encode_progress(wave.wave_id, record),
            encode_wave_status(wave.wave_id, completed=True),
        ]
        if not await self._commit(rows):
            return
        self.stored_progress[wave.wave_id] = record
        if state.wave is not wave:
            return
        state.completed = True
        log_event(
            Event.WAVE_COMPLETED, wave=wave.wave_id, begun=len(state.begun),
            absent=len(wave.vms) - len(state.begun.intersection(wave.vms)),
        )  # fmt: skip

    def _progress_of(self, state: WaveState) -> WaveProgress:
        wave = state.wave
        return WaveProgress(
            set(state.begun),
            set(state.ordered),
            state.seen.intersection(wave.vms),
            self.due_ms[wave.wave_id],
        )

    async def _commit(self, rows: list[tuple[str, bytes]]) -> bool:
        """Write the rows unless this entry no longer leads or one of them has changed.

        Return whether they were written. After a conflict, the next try uses the
        revisions that the store holds now.
        """
        conditions = {LEADER_KEY: Revision(int(self.term.token))}
        for key, _ in rows:
            conditions[key] = self.revisions.get(key, ABSENT)
        writes = tuple(Write(key, value) for key, value in rows)
        result = await self.store.commit(Transaction(conditions, writes))
        if result.is_ok():
            for key, _ in rows:
                self.revisions[key] = result.ok
            return True
        for key, item in result.error.current.items():
            if key != LEADER_KEY:
                self.revisions[key] = item.revision
        return False
