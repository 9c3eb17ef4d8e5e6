"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from typing import Any

from .http import Answer, Request

# "4 ms an answer" (SYSTEM.md).
ANSWER_SECONDS = 0.004
PAGE_ITEMS = 500


@dataclass
class Item:
    """One key; ``value`` is the base64 text that was written."""

    key: str
    value: str
    revision: int
    created: int
    lease: int = 0

    def row(self) -> dict[str, Any]:
        """Return the item on the wire."""
        return {
            "Key": self.key, "Value": self.value, "Revision": self.revision,
            "Created": self.created, "Lease": self.lease,
        }  # fmt: skip


@dataclass
class Store:
    """Linearizable store with leases and watches; it has no faults of its own."""

    items: dict[str, Item] = field(default_factory=dict)
    revision: int = 100
    history: list[dict[str, Any]] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    next_lease: int = 77000
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    # Seconds until each answer.
    answer_seconds: float = ANSWER_SECONDS

    # Written by the operator, the minions and the platform itself

    def put(self, key: str, document: Any) -> int:
        """Write a JSON document; return its revision."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.revision += 1
        self._write(key, value, 0)
        self._notify()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if key in self.items:
            self.revision += 1
            self._delete(key)
            self._notify()

    def _write(self, key: str, value: str, lease: int) -> None:
        known = self.items.get(key)
        created = known.created if known else self.revision
        self.items[key] = item = Item(key, value, self.revision, created, lease)
        self.history.append(item.row())

    def _delete(self, key: str) -> None:
        del self.items[key]
        self.history.append({"Key": key, "Revision": self.revision, "Deleted": True})

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self) -> None:
        """Remove the keys of leases that have run out."""
        now = time.monotonic()
        ended = [lease for lease, (end, _) in self.leases.items() if end <= now]
        for lease in ended:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item.lease == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            self._notify()

    # HTTP

    async def handle(self, request: Request) -> Answer:
        """Answer one call."""
        await asyncio.sleep(self.answer_seconds)
        self.expire_leases()
        name = f"{request.method} {request.path}"
        if name == "GET /kv-key":
            item = self.items.get(request.query["Key"])
            return (404, {}) if item is None else (200, item.row())
        if name == "GET /kv-range":
            return self._range(request)
        if name == "GET /kv-watch":
            return await self._watch(request)
        if name == "POST /kv-txn":
            return self._commit(request.body)
        if name == "POST /kv-lease":
            seconds = request.body["TtlMs"] / 1000
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + seconds, seconds)
            return 200, {"Lease": self.next_lease, "TtlMs": request.body["TtlMs"]}
        lease = int(request.path.rpartition("/")[2])
        if request.path.startswith("/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            seconds = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {"TtlMs": int(seconds * 1000)}
        self._end_lease(lease)
        return 200, {}

    def _range(self, request: Request) -> Answer:
        prefix, after = request.query["PathPrefix"], request.query.get("After", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        rows = [self.items[key].row() for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": rows, "HasMore": more, "AtRevision": self.revision}

    async def _watch(self, request: Request) -> Answer:
        prefix, after = request.query["PathPrefix"], int(request.query["After"])
        deadline = time.monotonic() + int(request.query["WaitMs"]) / 1000
        while True:
            self.expire_leases()
            events = [
                row
                for row in self.history
                if row["Revision"] > after and row["Key"].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "AtRevision": self.revision}
            try:
                async with asyncio.timeout(min(left, 0.05)):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def _commit(self, body: dict[str, Any]) -> Answer:
        rows = []
        holds = True
        for row in body.get("Expect") or []:
            item = self.items.get(row["Key"])
            holds = holds and (item.revision if item else 0) == row["Revision"]
            if item is not None:
                rows.append(item.row())
        if not holds:
            return 412, {"items": rows, "AtRevision": self.revision}
        puts = body.get("Puts") or []
        if any(row.get("Lease") and row["Lease"] not in self.leases for row in puts):
            return 404, {}
        self.revision += 1
        for row in puts:
            self._write(row["Key"], row["Value"], row.get("Lease") or 0)
        for key in body.get("Remove") or []:
            if key in self.items:
                self._delete(key)
        self._notify()
        return 200, {"Revision": self.revision}
