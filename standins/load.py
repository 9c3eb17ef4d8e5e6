"""Caller load with a full account of what happened to each request."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from ebonyhub.http_client import SmallResponse, request_once

from .backend import payload_of


@dataclass
class LoadReport:
    """Results by class, and the ids of requests that were refused as not run."""

    counts: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    sent: list[tuple[str, str, str]] = field(default_factory=list)
    not_run: list[tuple[str, str]] = field(default_factory=list)

    def check(self, runs: dict[str, dict[str, int]]) -> dict[str, int]:
        """Compare with what the backend servers ran; every value must be 0."""
        posts = [
            (service, rid) for service, method, rid in self.sent if method == "POST"
        ]
        return {
            "run twice": sum(runs[s].get(rid, 0) > 1 for s, rid in posts),
            "refused as not run, but run": sum(
                runs[s].get(rid, 0) > 0 for s, rid in self.not_run
            ),
            "wrong or short answers": self.counts["wrong"],
            "internal errors": self.errors["internal"],
        }


@dataclass
class Caller:
    """Sends requests in turn, each with an id of its own."""

    target: str
    services: list[str]
    report: LoadReport
    rng: random.Random
    ids: "itertools.count[int]"

    async def send_one(self) -> None:
        """Send one request and classify its result."""
        service = self.rng.choice(self.services)
        method = self.rng.choice(["GET", "GET", "GET", "POST"])
        size = self.rng.choice([50, 200, 200, 2000, 200_000])
        request_id = f"r{next(self.ids)}"
        self.report.sent.append((service, method, request_id))
        address, _, port = self.target.rpartition(":")
        result = await request_once(
            address,
            int(port),
            method,
            f"/{service}/work?size={size}",
            b"x" * 100 if method == "POST" else None,
            [(b"X-Request-Id", request_id.encode())],
            timeout_seconds=15.0,
        )
        if result.is_error():
            self.report.counts["connection lost"] += 1
            return
        self.classify(service, request_id, size, result.ok)

    def classify(
        self, service: str, request_id: str, size: int, response: SmallResponse
    ) -> None:
        """Count one answer."""
        outcome = response.header(b"x-ebonyhub-outcome")
        if outcome is not None:
            self.report.counts[f"refused as {outcome.decode()}"] += 1
            kind = (response.header(b"x-ebonyhub-error") or b"").decode()
            self.report.errors[kind] += 1
            if outcome == b"not-run":
                self.report.not_run.append((service, request_id))
            return
        answer = msgspec.json.decode(response.body)
        correct = (
            answer["request_id"] == request_id
            and answer["service"] == service
            and answer["payload"] == payload_of(request_id, size)
        )
        self.report.counts["answered" if correct else "wrong"] += 1

    async def run(self, seconds: float, pause_seconds: float) -> None:
        """Send requests for some time."""
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            await self.send_one()
            await asyncio.sleep(self.rng.expovariate(1 / pause_seconds))
