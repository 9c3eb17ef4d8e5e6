"""Entry processes on the stand-in platform, each with its own loopback address."""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

from ebonyhub.http_client import (
    RequestHead,
    SmallResponse,
    open_connection,
    request_once,
    send_and_receive,
)
from standins.job_platform import JobPlatform
from standins.job_platform import node_settings_text as node_settings_text
from standins.network import LoopbackNetwork, claim_network
from standins.platform_documents import HOST_NAME, PlatformOptions
from standins.platform_documents import PREFIX as PREFIX

ROOT = Path(__file__).parent.parent
CALLER_PORT = 8624
READINESS_PORT = 8622
STORE_PORT = 8600
FIRST_WORKER_PORT = 8700
PEER_PORTS = (7060, 7075)
CALL_TIMEOUT_SECONDS = 3.0
HOST = HOST_NAME.encode()
KEY_HEADER = b"X-Credential"


def key_headers(key: str | None) -> list[tuple[bytes, bytes]]:
    """Return the header that carries an API key, none without a key."""
    return [] if key is None else [(KEY_HEADER, key.encode())]


class JobCluster:
    """Entry processes and the stand-in platform that they use."""

    def __init__(
        self, entries: int, workers: int, options: PlatformOptions | None = None
    ) -> None:
        self.options = options or PlatformOptions()
        self.network: LoopbackNetwork = claim_network()
        self.platform_ip = self.network.address(0, 1)
        ports = list(range(FIRST_WORKER_PORT, FIRST_WORKER_PORT + workers))
        self.platform = JobPlatform(self.platform_ip, STORE_PORT, ports, self.options)
        self.directory = tempfile.TemporaryDirectory()
        self.names = [f"entry-{number}" for number in range(1, entries + 1)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        # Store address by entry, for entries that reach the store through a proxy.
        self.store_addresses: dict[str, str] = {}

    def ip(self, name: str) -> str:
        """Return the address of an entry."""
        return self.network.address(1, self.names.index(name) + 1)

    def start_entry(self, name: str) -> None:
        """Write the settings of an entry and start its process."""
        path = Path(self.directory.name) / f"{name}.yaml"
        direct_address = f"{self.platform_ip}:{STORE_PORT}"
        store = self.store_addresses.get(name, direct_address)
        path.write_text(
            node_settings_text(name, self.ip(name), store, PEER_PORTS, self.options)
        )
        log = (Path(self.directory.name) / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "deploy/entry.py"],
            cwd=ROOT,
            env={**os.environ, "EBONYHUB_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def read_log(self, name: str) -> str:
        """Return the log of all processes of an entry."""
        return (Path(self.directory.name) / f"{name}.log").read_text()

    def leader(self) -> str | None:
        """Return the running entry that logged the highest leadership token."""
        newest: tuple[int, str] | None = None
        for name, process in self.processes.items():
            if process.poll() is not None:
                continue
            for line in self.read_log(name).splitlines():
                if "leadership taken" in line:
                    token = int(line.rpartition("token=")[2].split()[0])
                    newest = max(newest, (token, name)) if newest else (token, name)
        return newest[1] if newest else None

    async def call(
        self,
        name: str,
        method: str,
        job: str,
        body: object = None,
        prefix: str = PREFIX,
        key: str | None = None,
    ) -> SmallResponse | None:
        """Call one entry about a job; None if it does not answer in time."""
        encoded = b"" if body is None else json.dumps(body).encode()
        headers = [
            (b"Host", HOST),
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(encoded)).encode()),
            (b"Connection", b"close"),
            *key_headers(key),
        ]
        head = RequestHead(method.encode(), f"{prefix}{job}".encode(), headers)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                opened = await open_connection(
                    self.ip(name), CALLER_PORT, CALL_TIMEOUT_SECONDS
                )
                if opened.is_error():
                    return None
                result = await send_and_receive(opened.ok, head, encoded)
        except TimeoutError:
            return None
        opened.ok.close()
        return result.ok if result.is_ok() else None

    async def is_ready(self, name: str) -> bool:
        """Return whether the entry reports that it accepts callers."""
        result = await request_once(self.ip(name), READINESS_PORT, "GET", "/readiness")
        return bool(result.is_ok() and result.ok.status == 200)

    def close(self) -> None:
        """Kill the entry processes and remove their files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.directory.cleanup()
        self.network.close()
