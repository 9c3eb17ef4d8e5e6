"""Starts stand-ins and entries as separate operating system processes."""

import contextlib
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from urllib.error import URLError
from urllib.request import Request, urlopen

import msgspec
import yaml

from ebonyhub.resources import Declared, ServiceSpec, VmSpec, parse_resources

from .network import LoopbackNetwork, claim_network

ROOT = Path(__file__).parent.parent
CALLER_PORT = 8080
ADMIN_PORT = 9080
PEER_PORT = 7080
STORE_PORT = 2379
TOKEN = "demo-operator-token"
START_TIMEOUT_SECONDS = 20.0


def http_get(url: str, timeout_seconds: float = 2.0) -> tuple[int, bytes]:
    """Return (status, body); status 0 if there is no response."""
    try:
        with urlopen(url, timeout=timeout_seconds) as response:
            return response.status, response.read()
    except URLError as error:
        return getattr(error, "code", 0), b""
    except OSError:
        return 0, b""


def wait_until_ok(url: str, status: int = 200) -> None:
    """Wait until a URL responds with ``status``; raises TimeoutError after 20 s."""
    end = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < end:
        if http_get(url)[0] == status:
            return
        time.sleep(0.05)
    raise TimeoutError(url)


def load_declared(text: str) -> Declared:
    """Parse an example file that must be valid."""
    parsed = parse_resources("example", text)
    if parsed.is_error():
        raise ValueError("\n".join(parsed.error))
    declared = Declared()
    for resource in parsed.ok:
        declared = declared.with_resource(resource)
    return declared


@dataclass
class Cluster:
    """Entries, backend servers, platform and balancer; use as a context manager."""

    example: Path
    entries: int
    program: list[str] = field(
        default_factory=lambda: [sys.executable, "-m", "ebonyhub"]
    )
    backend_delay_seconds: float = 0.005
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def __enter__(self) -> "Cluster":
        """Start all processes; the example is applied by ``apply_example``."""
        self.network: LoopbackNetwork = claim_network()
        self.directory = TemporaryDirectory(prefix="ebonyhub-")
        self.folder = Path(self.directory.name)
        self.resources = self.folder / "resources.yaml"
        self.resources.write_text(self.network.replace_prefix(self.example.read_text()))
        self.declared = load_declared(self.resources.read_text())
        try:
            self.start_platform()
            self.start_backends()
            for number in range(1, self.entries + 1):
                self.start_entry(number)
            for number in range(1, self.entries + 1):
                wait_until_ok(f"http://{self.admin(number)}/healthz")
            self.start_balancer()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *error: object) -> None:
        """Stop all processes."""
        self.stop()

    @property
    def platform(self) -> str:
        """Return ADDRESS:PORT of the store and VM list."""
        return f"{self.network.address(250, 1)}:{STORE_PORT}"

    @property
    def balancer(self) -> str:
        """Return ADDRESS:PORT for callers."""
        return f"{self.network.address(250, 2)}:{CALLER_PORT}"

    def entry_address(self, number: int) -> str:
        """Return the address of an entry, counted from 1."""
        return self.network.address(200, number)

    def admin(self, number: int) -> str:
        """Return ADDRESS:PORT of the admin listener of an entry."""
        return f"{self.entry_address(number)}:{ADMIN_PORT}"

    def start(self, name: str, command: list[str]) -> None:
        """Start one process; its log goes to a file of the same name."""
        environment = dict(os.environ)
        environment["PYTHONPATH"] = f"{ROOT / 'src'}{os.pathsep}{ROOT}"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment
            )

    def standin_command(self, module: str, *arguments: str) -> list[str]:
        """Return the command that runs a stand-in."""
        return [sys.executable, "-m", f"standins.{module}", *arguments]

    def start_platform(self) -> None:
        """Start the store and the VM list, in which all declared VMs are live."""
        address = self.network.address(250, 1)
        self.start("platform", self.standin_command("platform", "--address", address))
        wait_until_ok(f"http://{self.platform}/calls")
        self.set_vms(dict.fromkeys(self.declared.of_kind("Vm"), "live"))

    def set_vms(self, states: dict[str, str]) -> None:
        """Set the VM states that the list shows after its lag."""
        data = msgspec.json.encode(states)
        request = Request(f"http://{self.platform}/v1/vms", data, method="PUT")
        urlopen(request, timeout=5).close()

    def set_store_fault(self, mode: str, seconds: float = 0.0) -> None:
        """Set the fault switch of the store."""
        url = f"http://{self.platform}/faults?mode={mode}&seconds={seconds}"
        urlopen(Request(url, b"", method="POST"), timeout=5).close()

    def start_backends(self) -> None:
        """Start one process per service with all of its instances."""
        for name, resource in self.declared.of_kind("Service").items():
            spec = resource.spec
            assert isinstance(spec, ServiceSpec)
            arguments = ["--delay-seconds", str(self.backend_delay_seconds)]
            for vm in self.declared.of_kind("Vm").values():
                if isinstance(vm.spec, VmSpec) and vm.spec.pool == spec.pool:
                    instance = f"{name},{vm.spec.address},{spec.port}"
                    arguments += ["--instance", instance]
            self.start(f"backend-{name}", self.standin_command("backend", *arguments))

    def backend_runs(self, service: str) -> dict[str, int]:
        """Return how often each request id ran on a service."""
        spec = self.declared.of_kind("Service")[service].spec
        assert isinstance(spec, ServiceSpec)
        for vm in self.declared.of_kind("Vm").values():
            if isinstance(vm.spec, VmSpec) and vm.spec.pool == spec.pool:
                url = f"http://{vm.spec.address}:{spec.port}/runs"
                return msgspec.json.decode(http_get(url)[1], type=dict[str, int])
        return {}

    def entry_settings(self, number: int) -> dict[str, object]:
        """Return the settings of one entry."""
        address = self.entry_address(number)
        peers = [
            {
                "entry_id": f"entry-{other}",
                "address": self.entry_address(other),
                "port": PEER_PORT,
            }
            for other in range(1, self.entries + 1)
            if other != number
        ]
        platform = {"address": self.network.address(250, 1), "port": STORE_PORT}
        return {
            "cluster": "demo",
            "entry_id": f"entry-{number}",
            "data_centre": f"dc-{(number - 1) % 3 + 1}",
            "caller_listener": {"address": address, "port": CALLER_PORT},
            "admin_listener": {"address": address, "port": ADMIN_PORT},
            "peer_listener": {"address": address, "port": PEER_PORT},
            "store": platform,
            "vm_list": {**platform, "poll_seconds": 0.5},
            "peer_key": "demo-peer-key-0123456789",
            "peers": peers,
            "shutdown": {"balancer_grace_seconds": 1.0, "drain_seconds": 20.0},
            "admin_tokens": [{"operator": "demo", "token": TOKEN}],
        }

    def start_entry(self, number: int) -> None:
        """Start one entry process."""
        path = self.folder / f"entry-{number}.yaml"
        path.write_text(yaml.safe_dump(self.entry_settings(number)))
        command = [*self.program, "serve", "--settings", str(path)]
        self.start(f"entry-{number}", command)

    def start_balancer(self) -> None:
        """Start the balancer in front of all entries."""
        arguments = ["--address", self.network.address(250, 2)]
        arguments += ["--port", str(CALLER_PORT)]
        for number in range(1, self.entries + 1):
            address = self.entry_address(number)
            arguments += ["--target", f"{address},{CALLER_PORT},{ADMIN_PORT}"]
        self.start("balancer", self.standin_command("balancer", *arguments))

    def run_cli(
        self, *arguments: str, entry: int = 1
    ) -> subprocess.CompletedProcess[str]:
        """Run one subcommand against the admin API of an entry."""
        environment = dict(os.environ)
        environment["PYTHONPATH"] = str(ROOT / "src")
        environment["EBONYHUB_TOKEN"] = TOKEN
        environment["EBONYHUB_SERVER"] = self.admin(entry)
        return subprocess.run(
            [*self.program, *arguments],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def apply_example(self) -> None:
        """Apply the example through the command line and wait until it is in effect."""
        result = self.run_cli("apply", "-f", str(self.resources))
        if result.returncode != 0:
            raise RuntimeError(result.stderr)
        for number in range(1, self.entries + 1):
            wait_until_ok(f"http://{self.admin(number)}/readyz")
        # The balancer probes the entries at intervals. Its 404 for an unknown service
        # comes from an entry, so it shows that the balancer has found one ready.
        wait_until_ok(f"http://{self.balancer}/unknown-service", 404)

    def kill(self, name: str, signal_number: int = signal.SIGKILL) -> None:
        """Send a signal to one process that this object started."""
        self.processes[name].send_signal(signal_number)

    def stop(self) -> None:
        """Kill all processes, paused ones included, and remove their files."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.directory.cleanup()
        self.network.close()
