"""Runs daemons and stand-in upstreams as processes on loopback."""

import itertools
import json
import os
import pathlib
import random
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
# Last lines of a log that an error message shows.
LOGGED_LINES = 40


class Process:
    """A child process.

    Attributes:
        name: Name of the VM or upstream.
        child: The subprocess.
        log: File with the standard output and error of the process.
    """

    __slots__ = ("name", "child", "log")

    def __init__(
        self, name: str, child: "subprocess.Popen[bytes]", log: pathlib.Path
    ) -> None:
        self.name = name
        self.child = child
        self.log = log

    def kill(self) -> None:
        """Sends SIGKILL and waits for the end of the process."""
        self.child.kill()
        self.child.wait()

    def pause(self) -> None:
        """Suspends the process with SIGSTOP."""
        self.child.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues the process after `pause`."""
        self.child.send_signal(signal.SIGCONT)

    def stop(self) -> int:
        """Sends SIGTERM and waits for the end of the process.

        Returns:
            The exit code.

        Raises:
            subprocess.TimeoutExpired: The process runs on after STOP_SECONDS.
        """
        self.child.terminate()
        return self.child.wait(STOP_SECONDS)


class VmSpec:
    """Name, location and addresses of a VM.

    Attributes:
        name: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        is_replica: Whether the VM is an initial control replica.
        caller: Caller address, IP:PORT.
        peer: Peer address, IP:PORT.
    """

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
    """Daemons and stand-in upstreams; a context manager that kills them.

    Attributes:
        folder: Folder for logs, traces and data folders.
        vms: VMs by name.
        daemons: Process of each started daemon, by VM name.
        upstreams: Process of each started stand-in upstream, by name.
        record_traces: Whether daemons record traces.
        token: Token of the root operator.
        upstream_addresses: Address of each stand-in upstream, by name.
    """

    def __init__(self, folder: pathlib.Path, vms: Sequence[VmSpec]) -> None:
        self.folder = folder
        self.vms = {vm.name: vm for vm in vms}
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
        """Kills every process of the fleet that still runs."""
        for process in [*self.daemons.values(), *self.upstreams.values()]:
            if process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.kill()

    @property
    def control(self) -> str:
        """Caller addresses of all VMs, as the tool's --control takes them."""
        return ",".join(vm.caller for vm in self.vms.values())

    def start(self, name: str, *extra: str) -> Process:
        """Starts a daemon.

        Args:
            name: Name of the VM.
            *extra: Further arguments of the daemon.
        """
        vm = self.vms[name]
        replicas = ",".join(
            f"{v.name}={v.peer}" for v in self.vms.values() if v.is_replica
        )
        seeds = ",".join(v.peer for v in self.vms.values() if v.is_replica)
        arguments = [
            *("--vm", name),
            *("--region", vm.region),
            *("--failure-domain", vm.failure_domain),
            *("--caller-address", vm.caller),
            *("--peer-address", vm.peer),
            *("--seeds", seeds),
            *extra,
        ]
        if self.record_traces:
            arguments += ["--trace-file", str(self.trace_file(name))]
        if vm.is_replica:
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
        with log.open("ab") as output:
            child = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
            )
        return Process(name, child, log)

    def start_all(self) -> None:
        """Starts all daemons and waits until they are serving."""
        for name in self.vms:
            self.start(name)
        for name in self.vms:
            self.wait_serving(name)

    def wait_serving(self, name: str) -> None:
        """Waits until the health page of a VM reports state "serving".

        Raises:
            TimeoutError: It does not in time; with the end of the VM's log.
        """
        try:
            wait_until(lambda: self.health(name).get("state") == "serving")
        except TimeoutError:
            lines = self.daemons[name].log.read_text().splitlines()
            tail = "\n".join(lines[-LOGGED_LINES:])
            raise TimeoutError(f"{name} does not serve:\n{tail}") from None

    def health(self, name: str) -> dict[str, object]:
        """Returns the health page of a VM; {} if the VM does not answer."""
        url = f"http://{self.vms[name].caller}/.pollenseam/health"
        return fetch_json(url)

    def start_upstream(
        self, name: str, service: str, vm: VmSpec, key: str, *extra: str
    ) -> Process:
        """Starts a stand-in upstream in the failure domain of a VM.

        Args:
            name: Name of the upstream.
            service: Name of the service that the upstream announces.
            vm: VM whose region and failure domain the upstream is in. The
                upstream announces itself to all VMs of the failure domain.
            key: Key of the service.
            *extra: Further arguments of the stand-in.
        """
        address = f"{HOST}:{free_port()}"
        announce_to = ",".join(
            v.caller
            for v in self.vms.values()
            if v.failure_domain == vm.failure_domain
        )
        arguments = [
            *("--name", name),
            *("--service", service),
            *("--address", address),
            *("--region", vm.region),
            *("--failure-domain", vm.failure_domain),
            *("--announce-to", announce_to),
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
        """Returns the counters of a stand-in upstream, from its page /runs."""
        return fetch_json(f"http://{self.upstream_addresses[name]}/runs")

    def run_tool(
        self, *arguments: str, token: str | None = None, **environment: str
    ) -> "subprocess.CompletedProcess[str]":
        """Runs the command-line tool `pollenseam` against this fleet.

        Args:
            *arguments: Arguments of the tool.
            token: Operator's token; the root operator's by default.
            **environment: Further environment variables.
        """
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
        """Runs the tool with --json and returns the decoded output.

        Raises:
            RuntimeError: The exit code is not 0.
        """
        completed = self.run_tool("--json", *arguments)
        if completed.returncode != 0:
            raise RuntimeError(f"{arguments}: {completed.stderr}")
        answer: dict[str, object] = json.loads(completed.stdout)
        return answer

    def leader(self) -> str:
        """Returns the name of the quorum leader, or "" if no VM leads."""
        for name, process in self.daemons.items():
            if process.child.poll() is not None:
                continue
            url = f"http://{self.vms[name].caller}/.pollenseam/metrics"
            if "pollenseam_is_leader 1" in fetch_text(url):
                return name
        return ""


def fetch_text(url: str, seconds: float = 1.0) -> str:
    """Returns the text of a page; "" if the request fails."""
    try:
        with urllib.request.urlopen(url, timeout=seconds) as response:
            return str(response.read().decode())
    except OSError:
        return ""


def fetch_json(url: str) -> dict[str, object]:
    """Returns the decoded JSON of a page; {} if the request fails."""
    text = fetch_text(url)
    answer: dict[str, object] = json.loads(text) if text else {}
    return answer


def wait_until(
    condition: Callable[[], bool], seconds: float = START_SECONDS
) -> None:
    """Polls a condition until it is true.

    Raises:
        TimeoutError: The condition is still false after `seconds`.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= deadline:
            raise TimeoutError("the condition did not become true in time")
        time.sleep(0.05)


# Below the ports that Linux gives to outgoing connections (32768 and above).
FREE_PORTS = range(12_000, 32_000)
# Address at which processes claim ports from each other; nothing listens here.
CLAIM_HOST = "127.255.255.254"

# Sockets that hold this process's claims, by port.
_claims: dict[int, socket.socket] = {}


def free_port() -> int:
    """Returns a port that is free and that no other process is given.

    The port is claimed until this process ends.

    Raises:
        OSError: No port is left.
    """
    offset = random.randrange(len(FREE_PORTS))
    for port in itertools.chain(FREE_PORTS[offset:], FREE_PORTS[:offset]):
        if port not in _claims and _claim_port(port):
            return port
    raise OSError("no port is left")


def _claim_port(port: int) -> bool:
    claim = socket.socket()
    try:
        claim.bind((CLAIM_HOST, port))
        with socket.socket() as listener:
            listener.bind((HOST, port))
    except OSError:
        claim.close()
        return False
    _claims[port] = claim
    return True


def make_vm_specs(
    regions: dict[str, list[str]], vms_per_domain: int, replicas: int
) -> list[VmSpec]:
    """Returns the VMs of a fleet, with replicas in as many regions as possible.

    Args:
        regions: Failure domains by region.
        vms_per_domain: VMs in each failure domain.
        replicas: Number of VMs that are control replicas.
    """
    vms: list[VmSpec] = []
    count = 0
    # Alternates between regions, as the first VMs become the replicas.
    order = [
        (region, domains[index])
        for index in range(max(len(d) for d in regions.values()))
        for region, domains in regions.items()
        if index < len(domains)
    ]
    for number in range(vms_per_domain):
        for region, failure_domain in order:
            name = f"{failure_domain}-{number + 1}"
            vms.append(VmSpec(name, region, failure_domain, count < replicas))
            count += 1
    return vms
