"""Starts daemons and stand-in upstreams as processes on loopback."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable
from collections.abc import Sequence

from pollenseam import keys

HOST = "127.0.0.1"
START_SECONDS = 20.0
STOP_SECONDS = 30.0


class Process:
    """One process that this one started.

    Attributes:
        name: Its name in the fleet.
        child: The process.
        log: File with its standard error.
    """

    __slots__ = ("name", "child", "log")

    def __init__(
        self, name: str, child: "subprocess.Popen[bytes]", log: pathlib.Path
    ) -> None:
        self.name = name
        self.child = child
        self.log = log

    def kill(self) -> None:
        """Kills it at once."""
        self.child.kill()
        self.child.wait()

    def pause(self) -> None:
        """Freezes it."""
        self.child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it go on."""
        self.child.send_signal(signal.SIGCONT)

    def stop(self) -> int:
        """Stops it gracefully and returns its exit code."""
        self.child.terminate()
        return self.child.wait(STOP_SECONDS)


class VmSpec:
    """Where a VM stands and how it is reached."""

    __slots__ = (
        "name",
        "region",
        "failure_domain",
        "caller",
        "peer",
        "is_replica",
    )

    def __init__(
        self,
        name: str,
        region: str,
        failure_domain: str,
        is_replica: bool,
    ) -> None:
        self.name = name
        self.region = region
        self.failure_domain = failure_domain
        self.is_replica = is_replica
        self.caller = f"{HOST}:{free_port()}"
        self.peer = f"{HOST}:{free_port()}"


class Fleet:
    """Daemons and stand-ins, ended together.

    Attributes:
        folder: Folder for logs and data folders.
        places: VMs by name.
        daemons: Running daemons by VM name.
        upstreams: Running stand-in upstreams by name.
        records: Whether daemons record traces.
        token: The first operator's token.
    """

    def __init__(self, folder: pathlib.Path, vms: Sequence[VmSpec]) -> None:
        self.folder = folder
        self.vms = {place.name: place for place in vms}
        self.daemons: dict[str, Process] = {}
        self.upstreams: dict[str, Process] = {}
        self.record_traces = False
        self.token = keys.generate().text
        self.upstream_addresses: dict[str, str] = {}

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Ends every process that this fleet started."""
        for process in [*self.daemons.values(), *self.upstreams.values()]:
            if process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.kill()

    @property
    def control(self) -> str:
        """Caller addresses of all VMs, for the tool."""
        return ",".join(place.caller for place in self.vms.values())

    def start(self, name: str, *extra: str) -> Process:
        """Starts one daemon."""
        place = self.vms[name]
        replicas = ",".join(
            f"{p.name}={p.peer}" for p in self.vms.values() if p.is_replica
        )
        seeds = ",".join(p.peer for p in self.vms.values() if p.is_replica)
        arguments = [
            *("--vm", name),
            *("--region", place.region),
            *("--failure-domain", place.failure_domain),
            *("--caller-address", place.caller),
            *("--peer-address", place.peer),
            *("--seeds", seeds),
            *extra,
        ]
        if self.record_traces:
            arguments += ["--trace-file", str(self.trace_file(name))]
        if place.is_replica:
            arguments += ["--data-folder", str(self.data_folder(name))]
            arguments += ["--initial-replicas", replicas]
        environment = {**os.environ, "POLLENSEAM_ROOT_TOKEN": self.token}
        process = self._spawn(name, "pollenseam.daemon", arguments, environment)
        self.daemons[name] = process
        return process

    def trace_file(self, name: str) -> pathlib.Path:
        """Returns the trace file of a VM."""
        return self.folder / f"{name}.trace"

    def data_folder(self, name: str) -> pathlib.Path:
        """Returns the data folder of a replica."""
        return self.folder / f"data-{name}"

    def _spawn(
        self,
        name: str,
        module: str,
        arguments: Sequence[str],
        environment: dict[str, str],
    ) -> Process:
        log = self.folder / f"{name}.log"
        with log.open("ab") as sink:
            child = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
                env=environment,
            )
        return Process(name, child, log)

    def start_all(self) -> None:
        """Starts all daemons and waits until they serve."""
        for name in self.vms:
            self.start(name)
        for name in self.vms:
            self.wait_serving(name)

    def wait_serving(self, name: str) -> None:
        """Waits until a VM says that it serves."""
        wait_until(lambda: self.health(name).get("state") == "serving")

    def health(self, name: str) -> dict[str, object]:
        """Returns a VM's health page; {} when it does not answer."""
        url = f"http://{self.vms[name].caller}/.pollenseam/health"
        return fetch_json(url)

    def start_upstream(
        self, name: str, service: str, vm: VmSpec, key: str, *extra: str
    ) -> Process:
        """Starts a stand-in upstream that announces to VMs of its domain."""
        address = f"{HOST}:{free_port()}"
        near = ",".join(
            p.caller
            for p in self.vms.values()
            if p.failure_domain == vm.failure_domain
        )
        arguments = [
            *("--name", name),
            *("--service", service),
            *("--address", address),
            *("--region", vm.region),
            *("--failure-domain", vm.failure_domain),
            *("--announce-to", near),
            *("--key", key),
            *extra,
        ]
        process = self._spawn(
            name, "pollenseam.standins.upstream", arguments, dict(os.environ)
        )
        self.upstreams[name] = process
        self.upstream_addresses[name] = address
        return process

    def runs(self, name: str) -> dict[str, object]:
        """Returns what a stand-in upstream counted."""
        return fetch_json(f"http://{self.upstream_addresses[name]}/runs")

    def run_tool(
        self, *arguments: str, token: str | None = None, **environment: str
    ) -> "subprocess.CompletedProcess[str]":
        """Runs the operators' tool against this fleet."""
        return subprocess.run(
            [sys.executable, "-m", "pollenseam.cli", *arguments],
            capture_output=True,
            text=True,
            env={
                **os.environ,
                "POLLENSEAM_CONTROL": self.control,
                "POLLENSEAM_TOKEN": self.token if token is None else token,
                **environment,
            },
            timeout=60,
        )

    def run_tool_json(self, *arguments: str) -> dict[str, object]:
        """Runs the tool and returns its JSON answer.

        Raises:
            RuntimeError: The tool failed.
        """
        done = self.run_tool("--json", *arguments)
        if done.returncode != 0:
            raise RuntimeError(f"{arguments}: {done.stderr}")
        answer: dict[str, object] = json.loads(done.stdout)
        return answer

    def leader(self) -> str:
        """Returns the name of the VM that leads, or ""."""
        for name, process in self.daemons.items():
            if process.child.poll() is not None:
                continue
            url = f"http://{self.vms[name].caller}/.pollenseam/metrics"
            if "pollenseam_is_leader 1" in fetch_text(url):
                return name
        return ""


def fetch_text(url: str, seconds: float = 1.0) -> str:
    """Returns a page's text; "" when there is no answer."""
    try:
        with urllib.request.urlopen(url, timeout=seconds) as response:
            return str(response.read().decode())
    except OSError:
        return ""


def fetch_json(url: str) -> dict[str, object]:
    """Returns a page's JSON; {} when there is no answer."""
    text = fetch_text(url)
    answer: dict[str, object] = json.loads(text) if text else {}
    return answer


def wait_until(
    condition: Callable[[], bool], seconds: float = START_SECONDS
) -> None:
    """Polls until a condition holds.

    Raises:
        TimeoutError: It did not within `seconds`.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= deadline:
            raise TimeoutError("the condition did not come to hold")
        time.sleep(0.05)


_returned_ports: set[int] = set()


def free_port() -> int:
    """Returns a port that is free now and was not returned before."""
    while True:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = int(probe.getsockname()[1])
        if port not in _returned_ports:
            _returned_ports.add(port)
            return port


def make_vm_specs(
    regions: dict[str, list[str]], vms_per_domain: int, replicas: int
) -> list[VmSpec]:
    """Returns VMs for each failure domain; replicas spread over regions.

    Args:
        regions: Failure domains by region.
        per_domain: VMs in each failure domain.
        replicas: How many of the VMs are control replicas.
    """
    found: list[VmSpec] = []
    count = 0
    order = [
        (region, domains[turn])
        for turn in range(max(len(d) for d in regions.values()))
        for region, domains in regions.items()
        if turn < len(domains)
    ]
    for number in range(vms_per_domain):
        for region, domain in order:
            name = f"{domain}-{number + 1}"
            found.append(VmSpec(name, region, domain, count < replicas))
            count += 1
    return found
