"""Carries out the planner's decisions: reads the list of VMs and calls the cloud."""

import asyncio
from collections.abc import Callable, Mapping

import msgspec

from ..clock import Clock
from ..cluster.leadership import LEADER_KEY, Term
from ..cluster.metadata_store import ABSENT, MetadataStore, Transaction, Write
from ..configuration import Configuration
from ..events import Event, log_event
from ..ids import PoolName, Revision, VmId, WaveId
from ..platform.cloud import CloudClient, CloudFailure
from ..platform.config import encode_wave_status
from .changes import VmChange
from .demand import Demand
from .model import FleetLoad, Vm, Wave
from .planner import FleetPlanner

# Seconds between two passes of the planner.
STEP_SECONDS = 0.2
# Seconds between readings of the list of VMs, while changes are under way and without.
BUSY_LIST_SECONDS = 0.5
IDLE_LIST_SECONDS = 2.0
# Key prefix of the VMs of each wave whose upkeep has begun.
WAVE_PROGRESS_PREFIX = "eb/w/"

_RETRY = frozenset({CloudFailure.REFUSED, CloudFailure.UNKNOWN})

LoadReader = Callable[[], FleetLoad]
DemandReader = Callable[[], Mapping[PoolName, Demand]]


class WaveProgress(msgspec.Struct, array_like=True):
    """Stored progress of a wave; a VM is in ``ordered`` before the cloud is asked."""

    begun: set[VmId]
    ordered: set[VmId]


class FleetController:
    """Moves and upkeep during one term of leadership."""

    def __init__(
        self,
        term: Term,
        store: MetadataStore,
        cloud: CloudClient,
        clock: Clock,
        read_loads: LoadReader,
        read_demands: DemandReader,
        cordon: Callable[[set[VmId]], None],
        on_vms: Callable[[list[Vm]], None],
        is_urgent: Callable[[], bool],
    ) -> None:
        self.term = term
        self.store = store
        self.cloud = cloud
        self.clock = clock
        self.read_loads = read_loads
        self.read_demands = read_demands
        self.cordon = cordon
        self.on_vms = on_vms
        # Whether a worker with runs is silent, so that its VM's state is wanted soon.
        self.is_urgent = is_urgent
        self.planner = FleetPlanner()
        self.next_list = 0.0
        self.listed_at = 0.0
        self.revisions: dict[str, Revision] = {}
        # What is stored of each wave.
        self.stored: dict[WaveId, WaveProgress] = {}
        self.calls: set[asyncio.Task[None]] = set()

    def configure(self, configuration: Configuration) -> None:
        """Take over the pools, and which of them are standby."""
        self.planner.pool_names = {PoolName(name) for name in configuration.services}
        self.planner.standby_pools = {
            PoolName(name) for name, s in configuration.services.items() if s.standby
        }

    def add_wave(self, wave: Wave) -> None:
        """Take over an operator's wave."""
        self.planner.add_wave(wave, self.clock.monotonic())

    async def run(self) -> None:
        """Plan and order until cancelled."""
        try:
            await self._load_progress()
            while True:
                await self._step()
                await asyncio.sleep(STEP_SECONDS)
        finally:
            for task in self.calls:
                task.cancel()

    async def _load_progress(self) -> None:
        """Read which upkeep an earlier leader has begun or asked for."""
        while True:
            listed = await self.store.list(WAVE_PROGRESS_PREFIX)
            if listed.is_ok():
                break
            await asyncio.sleep(STEP_SECONDS)
        for item in listed.ok.items:
            self.revisions[item.key] = item.revision
            wave = WaveId(int(item.key.removeprefix(WAVE_PROGRESS_PREFIX)))
            state = self.planner.waves.get(wave)
            if state is not None and item.value is not None:
                record = msgspec.msgpack.decode(item.value, type=WaveProgress)
                now = self.clock.monotonic()
                self.planner.resume_wave(wave, record.begun, record.ordered, now)
                self.stored[wave] = record

    async def _step(self) -> None:
        now = self.clock.monotonic()
        if self.is_urgent():
            self.next_list = min(self.next_list, self.listed_at + BUSY_LIST_SECONDS)
        if now >= self.next_list:
            await self._read_vms()
        now = self.clock.monotonic()
        if not self.term.is_valid(now) or not self.planner.vms:
            return
        self.planner.fleet_load = self.read_loads()
        changes = self.planner.plan(self.read_demands(), now)
        self.cordon(self.planner.cordoned_vms())
        await self._store_progress()
        for change in changes:
            if not self._may_order(change):
                self.planner.mark_refused(change, "not stored", True, now)
                continue
            task = asyncio.create_task(self._order(change))
            self.calls.add(task)
            task.add_done_callback(self._call_done)

    def _may_order(self, change: VmChange) -> bool:
        """Return whether a successor would know of the call."""
        if not self.term.is_valid(self.clock.monotonic()):
            return False
        if change.wave is None:
            return True
        record = self.stored.get(change.wave)
        return record is not None and change.vm in record.ordered

    def _call_done(self, task: asyncio.Task[None]) -> None:
        self.calls.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log_event(
                Event.BACKGROUND_TASK_FAILED, task="cloud", error=repr(task.exception())
            )

    async def _read_vms(self) -> None:
        listed = await self.cloud.list_vms()
        now = self.clock.monotonic()
        pause = BUSY_LIST_SECONDS if self.planner.changes else IDLE_LIST_SECONDS
        self.next_list = now + pause
        self.listed_at = now
        if listed.is_ok():
            self.planner.update_vms(listed.ok, now)
            self.on_vms(listed.ok)

    async def _order(self, change: VmChange) -> None:
        """Ask the cloud for a change whose VM is empty."""
        if change.wave is not None:
            result = await self.cloud.start_upkeep(
                change.vm, change.wave, self.term.token
            )
        else:
            assert change.pool is not None
            result = await self.cloud.move(change.vm, change.pool, self.term.token)
        now = self.clock.monotonic()
        log_event(
            Event.VM_CHANGE_ORDERED,
            vm=change.vm,
            pool=change.pool,
            wave=change.wave,
            outcome=result.error.value if result.is_error() else "accepted",
        )
        self.next_list = min(self.next_list, now + BUSY_LIST_SECONDS)
        if result.is_ok():
            self.planner.mark_accepted(change, now)
            return
        if result.error is CloudFailure.FENCED:
            self.term.ended = True
        change.outcome_unknown = (
            change.outcome_unknown or result.error is CloudFailure.UNKNOWN
        )
        # A VM that is not up would hold a place of its wave until it comes back, unless
        # the earlier call without an answer is what makes it busy.
        retry = result.error in _RETRY or change.outcome_unknown
        self.planner.mark_refused(change, result.error.value, retry, now)

    async def _store_progress(self) -> None:
        """Store which upkeep has begun or may begin, and tell operators of waves."""
        for wave, state in self.planner.waves.items():
            record = WaveProgress(set(state.begun), set(state.ordered))
            if state.completed or self.stored.get(wave) == record:
                continue
            rows = [(f"{WAVE_PROGRESS_PREFIX}{wave}", msgspec.msgpack.encode(record))]
            if wave not in self.stored:
                rows.append(encode_wave_status(wave, completed=False))
            if await self._write(rows):
                self.stored[wave] = record
        for state in self.planner.finished_waves():
            status = encode_wave_status(state.wave.wave_id, completed=True)
            if await self._write([status]):
                state.completed = True
                log_event(Event.WAVE_COMPLETED, wave=state.wave.wave_id)

    async def _write(self, rows: list[tuple[str, bytes]]) -> bool:
        """Write keys while this entry leads; a changed key is written next time."""
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
