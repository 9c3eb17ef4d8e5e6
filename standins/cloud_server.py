"""HTTP stand-ins of the cloud and of the placement advisor, on loopback."""

import asyncio
import time
from dataclasses import dataclass

from blacksheep import Request, Response

from ebonyhub.servers import build_server
from ebonyhub.settings import Listener
from standins.job_platform import Handler, JsonApp, reply

# Time that a move or a maintenance takes.
CHANGE_DURATION_SECONDS = 0.2


@dataclass(slots=True)
class CloudVm:
    """A VM; while not "up", it comes back at ``back_up_at`` (monotonic seconds)."""

    name: str
    pool: str
    state: str = "up"
    back_up_at: float = 0.0
    token: int = 0
    maintenance_wave: int = 0


class CloudServer:
    """Lists and moves VMs and starts their maintenance; checks the fencing token."""

    def __init__(self, listener: Listener, pools: dict[str, str]) -> None:
        self.vms = {name: CloudVm(name, pool) for name, pool in pools.items()}
        handlers: dict[str, Handler] = {
            "GET /machines": self.list,
            "POST /machine-move": self.move,
            "POST /machine-upkeep": self.start_maintenance,
        }
        self.server = build_server(JsonApp(handlers), listener)

    def _finish_changes(self) -> None:
        for vm in self.vms.values():
            if vm.state != "up" and time.monotonic() >= vm.back_up_at:
                vm.state = "up"

    def list(self, request: Request) -> Response:
        """Answer with a page of the VM list, two VMs at most."""
        self._finish_changes()
        names = sorted(self.vms)
        start = int((request.query.get("PageToken") or ["0"])[0])
        rows = [
            {
                "Machine": vm.name,
                "Pool": vm.pool,
                "State": vm.state,
                "Zone": "a",
                "Labels": ["kind", "r1"],
                "Capacity": {"Cpu": 8000, "MemMb": 100, "Gpu": 0},
                "Id": f"w-{vm.name}" if vm.state == "up" else "",
            }
            for vm in (self.vms[name] for name in names[start : start + 2])
        ]
        next_page_token = str(start + 2) if start + 2 < len(names) else None
        return reply(200, {"Machines": rows, "NextPageToken": next_page_token})

    async def move(self, request: Request) -> Response:
        """Move a VM to another pool."""
        data = await request.json()
        return self._change(request, data["Machine"], "moving", data["Pool"])

    async def start_maintenance(self, request: Request) -> Response:
        """Start the maintenance of a VM; a repeated call for a wave has no effect."""
        data = await request.json()
        vm = self.vms.get(data["Machine"])
        if vm is not None and vm.maintenance_wave == data["Wave"]:
            return reply(200, {})
        answer = self._change(request, data["Machine"], "upkeep", None)
        if vm is not None and answer.status == 200:
            vm.maintenance_wave = data["Wave"]
        return answer

    def _change(
        self, request: Request, name: str, state: str, pool: str | None
    ) -> Response:
        self._finish_changes()
        vm = self.vms.get(name)
        if vm is None:
            return reply(400, {})
        token = int(request.get_first_header(b"x-fencing-token") or b"0")
        if token < vm.token:
            return reply(409, {"Reason": "fence"})
        vm.token = token
        if pool is not None and vm.pool == pool:
            return reply(200, {})
        if vm.state != "up":
            return reply(409, {"Reason": "busy"})
        vm.state, vm.back_up_at = state, time.monotonic() + CHANGE_DURATION_SECONDS
        vm.pool = pool or vm.pool
        return reply(200, {})


class AdvisorServer:
    """Advises workers whose id ends in an even digit; answers one call at a time."""

    def __init__(self, listener: Listener, answer_delay_seconds: float) -> None:
        self.answer_delay_seconds = answer_delay_seconds
        self.call_lock = asyncio.Lock()
        self.server = build_server(JsonApp({"POST /advise": self.advise}), listener)

    async def advise(self, request: Request) -> Response:
        """Answer with a ticket for each advised worker."""
        data = await request.json()
        async with self.call_lock:
            await asyncio.sleep(self.answer_delay_seconds)
        good = [
            [worker, f"{data['Step']}-{worker}"]
            for worker in data["Workers"]
            if worker[-1] in "02468"
        ]
        return reply(200, {"Good": good, "ValidityMs": 3000})
