"""The cloud and the placement advisor over HTTP on loopback."""

import asyncio
import time
from dataclasses import dataclass

from blacksheep import Request, Response

from ebonyhub.servers import build_server
from ebonyhub.settings import Listener
from standins.job_platform import Handler, JsonApp, reply

CHANGE_SECONDS = 0.2


@dataclass(slots=True)
class CloudVm:
    """A VM; it is away until ``back_at`` (monotonic seconds)."""

    name: str
    pool: str
    state: str = "up"
    back_at: float = 0.0
    token: int = 0
    upkeep: int = 0


class CloudServer:
    """Lists VMs, moves them and begins their upkeep; checks the fencing token."""

    def __init__(self, listener: Listener, pools: dict[str, str]) -> None:
        self.vms = {name: CloudVm(name, pool) for name, pool in pools.items()}
        handlers: dict[str, Handler] = {
            "GET /machines": self.list,
            "POST /machine-move": self.move,
            "POST /machine-upkeep": self.begin_upkeep,
        }
        self.server = build_server(JsonApp(handlers), listener)

    def _come_back(self) -> None:
        for vm in self.vms.values():
            if vm.state != "up" and time.monotonic() >= vm.back_at:
                vm.state = "up"

    def list(self, request: Request) -> Response:
        """Answer a reading of the list, two VMs a page."""
        self._come_back()
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
        following = str(start + 2) if start + 2 < len(names) else None
        return reply(200, {"Machines": rows, "NextPageToken": following})

    async def move(self, request: Request) -> Response:
        """Answer a move."""
        data = await request.json()
        return self._change(request, data["Machine"], "moving", data["Pool"])

    async def begin_upkeep(self, request: Request) -> Response:
        """Answer the begin of an upkeep."""
        data = await request.json()
        vm = self.vms.get(data["Machine"])
        if vm is not None and vm.upkeep == data["Wave"]:
            return reply(200, {})
        answer = self._change(request, data["Machine"], "upkeep", None)
        if vm is not None and answer.status == 200:
            vm.upkeep = data["Wave"]
        return answer

    def _change(
        self, request: Request, name: str, state: str, pool: str | None
    ) -> Response:
        self._come_back()
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
        vm.state, vm.back_at = state, time.monotonic() + CHANGE_SECONDS
        vm.pool = pool or vm.pool
        return reply(200, {})


class AdvisorServer:
    """Allows workers whose id ends in an even digit, one call at a time."""

    def __init__(self, listener: Listener, seconds: float) -> None:
        self.seconds = seconds
        self.turn = asyncio.Lock()
        self.server = build_server(JsonApp({"POST /advise": self.advise}), listener)

    async def advise(self, request: Request) -> Response:
        """Answer with the tickets of a step."""
        data = await request.json()
        async with self.turn:
            await asyncio.sleep(self.seconds)
        good = [
            [worker, f"{data['Step']}-{worker}"]
            for worker in data["Workers"]
            if worker[-1] in "02468"
        ]
        return reply(200, {"Good": good, "ValidityMs": 3000})
