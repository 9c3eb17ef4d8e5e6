"""Caller load that records the result of every request."""

import asyncio
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from ebonyhub.http_client import SmallResponse, request_once

from .backend import expected_payload


@dataclass
class LoadReport:
    """Counts by result, requests sent, and requests refused as not run.

    ``sent`` has (service, method, request id), ``not_run`` (service, request id).
    """

    counts: Counter[str] = field(default_factory=Counter)
    errors: Counter[str] = field(default_factory=Counter)
    sent: list[tuple[str, str, str]] = field(default_factory=list)
    not_run: list[tuple[str, str]] = field(default_factory=list)

    def count_violations(self, runs: dict[str, dict[str, int]]) -> dict[str, int]:
        """Compare with the runs on the backend servers; every count must be 0."""
        posts = [
            (service, request_id)
            for service, method, request_id in self.sent
            if method == "POST"
        ]
        return {
            "run twice": sum(runs[s].get(request_id, 0) > 1 for s, request_id in posts),
            "refused as not run, but run": sum(
                runs[s].get(request_id, 0) > 0 for s, request_id in self.not_run
            ),
            "wrong or truncated responses": self.counts["wrong"],
            "internal errors": self.errors["internal"],
        }


@dataclass
class Caller:
    """Sends one request after the other, each with a new id."""

    balancer: str
    services: list[str]
    report: LoadReport
    rng: random.Random
    request_ids: "itertools.count[int]"

    async def send_one(self) -> None:
        """Send one random request and count its result."""
        service = self.rng.choice(self.services)
        method = self.rng.choice(["GET", "GET", "GET", "POST"])
        size = self.rng.choice([50, 200, 200, 2000, 200_000])
        request_id = f"r{next(self.request_ids)}"
        self.report.sent.append((service, method, request_id))
        address, _, port = self.balancer.rpartition(":")
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
        """Count one response, as a refusal or by whether its content is correct."""
        outcome = response.header(b"x-ebonyhub-outcome")
        if outcome is not None:
            self.report.counts[f"refused as {outcome.decode()}"] += 1
            kind = (response.header(b"x-ebonyhub-error") or b"").decode()
            self.report.errors[kind] += 1
            if outcome == b"not-run":
                self.report.not_run.append((service, request_id))
            return
        body = msgspec.json.decode(response.body)
        correct = (
            body["request_id"] == request_id
            and body["service"] == service
            and body["payload"] == expected_payload(request_id, size)
        )
        self.report.counts["answered" if correct else "wrong"] += 1

    async def run(self, seconds: float, mean_pause_seconds: float) -> None:
        """Send requests for ``seconds``, with exponentially distributed pauses."""
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            await self.send_one()
            await asyncio.sleep(self.rng.expovariate(1 / mean_pause_seconds))
