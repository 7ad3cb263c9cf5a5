"""Compares an entry VM with a minimal reverse proxy on the same core.

The reverse proxy is bench.passthrough; both forward to the same upstream, in
turn. Also measures look-ups and memory.
"""

import json
import pathlib
import subprocess
import sys
import tempfile
import time

from bench import measure
from pollenseam.standins import fleet

SETTINGS = """
[fleet]
lookup_max_age_ms = 500
[fleet.regions.r1]
failure_domains = ["d1"]
client_blocks = ["127.0.0.0/8"]
[teams.t.services.svc]
[[teams.t.services.svc.routes]]
host = "svc.example"
[teams.t.workspaces.w]
rate = 1000000
burst = 1000000
"""
ROUNDS = 5
SECONDS = 2.0
CONNECTIONS = 16
IDLE_CONNECTIONS = 2000


def run_blaster(address: str, head: str) -> dict[str, float]:
    """Runs the load generator in its own process.

    Args:
        address: HOST:PORT of the target.
        head: Head of the request, with "|" for each line end.

    Returns:
        The result of blaster.generate_load.
    """
    completed = subprocess.run(
        [
            sys.executable,
            "-m",
            "bench.blaster",
            address,
            head,
            str(CONNECTIONS),
            str(SECONDS),
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    figures: dict[str, float] = json.loads(completed.stdout)
    return figures


def run_blaster_with_cpu(pid: int, address: str, head: str) -> dict[str, float]:
    """Runs the load generator; adds the processor time per request.

    Args:
        pid: Process to measure the processor time of.
        address: HOST:PORT of the target.
        head: Head of the request, with "|" for each line end.

    Returns:
        The result of run_blaster with `cpu_us`, the processor time of the
        process per request in microseconds.
    """
    before = measure.cpu_seconds(pid)
    figures = run_blaster(address, head)
    used = measure.cpu_seconds(pid) - before
    # The processor time includes the load generator's warm-up of 0.5 s.
    figures["cpu_us"] = used / (figures["per_second"] * (SECONDS + 0.5)) * 1e6
    return figures


def main() -> None:
    """Runs the benchmark on a fleet of one VM."""
    with tempfile.TemporaryDirectory() as folder:
        vms = fleet.make_vm_specs({"r1": ["d1"]}, 1, 1)
        with fleet.Fleet(pathlib.Path(folder), vms) as running:
            _measure(running)


def _measure(running: fleet.Fleet) -> None:
    name = next(iter(running.vms))
    vm = running.vms[name]
    running.start_all()
    settings = running.folder / "settings.toml"
    settings.write_text(SETTINGS)
    running.run_tool_json("apply", str(settings))
    issued = running.run_tool_json("key", "issue", "/teams/t/services/svc")
    key = running.run_tool_json("key", "issue", "/teams/t/workspaces/w")
    pid = running.daemons[name].child.pid
    idle_mb = measure.rss_mb(pid)
    process = running.start_upstream(
        "u1",
        "svc",
        vm,
        str(issued["secret"]),
        *("--slots", "1000", "--work-ms", "0", "--queues"),
    )
    time.sleep(2.0)
    upstream = running.upstream_addresses["u1"]
    port = fleet.free_port()
    baseline = measure.spawn("bench.passthrough", str(port), upstream)
    time.sleep(1.0)
    measure.pin(process.child.pid, 1)
    measure.pin(pid, 2)
    measure.pin(baseline.pid, 2)
    head = (
        "GET /x HTTP/1.1|Host: svc.example|"
        f"Authorization: Bearer {key['secret']}||"
    )
    lookup = "GET /.pollenseam/lookup?service=svc HTTP/1.1|Host: x||"
    entry_runs, baseline_runs, lookup_runs = [], [], []
    for _ in range(ROUNDS):
        baseline_runs.append(
            run_blaster_with_cpu(baseline.pid, f"127.0.0.1:{port}", head)
        )
        entry_runs.append(run_blaster_with_cpu(pid, vm.caller, head))
        lookup_runs.append(run_blaster_with_cpu(pid, vm.caller, lookup))
    baseline.kill()
    baseline.wait()
    measure.record("hop", _figures(entry_runs, baseline_runs, lookup_runs))
    _measure_memory(running, pid, vm.caller, idle_mb)


def _figures(
    entry_runs: list[dict[str, float]],
    baseline_runs: list[dict[str, float]],
    lookup_runs: list[dict[str, float]],
) -> dict[str, object]:
    def median_of(runs: list[dict[str, float]], name: str) -> float:
        return measure.median([run[name] for run in runs])

    return {
        "throughput_ratio": measure.median(
            [
                a["per_second"] / b["per_second"]
                for a, b in zip(entry_runs, baseline_runs, strict=True)
            ]
        ),
        "p99_ratio": measure.median(
            [
                a["p99_ms"] / b["p99_ms"]
                for a, b in zip(entry_runs, baseline_runs, strict=True)
            ]
        ),
        "cpu_ratio": measure.median(
            [
                a["cpu_us"] / b["cpu_us"]
                for a, b in zip(entry_runs, baseline_runs, strict=True)
            ]
        ),
        "entry_cpu_us": median_of(entry_runs, "cpu_us"),
        "bare_cpu_us": median_of(baseline_runs, "cpu_us"),
        "lookup_cpu_us": median_of(lookup_runs, "cpu_us"),
        "entry_per_second": median_of(entry_runs, "per_second"),
        "bare_per_second": median_of(baseline_runs, "per_second"),
        "entry_p99_ms": median_of(entry_runs, "p99_ms"),
        "bare_p99_ms": median_of(baseline_runs, "p99_ms"),
        "lookups_per_second": median_of(lookup_runs, "per_second"),
        "failures": sum(
            run["failures"] for run in entry_runs + baseline_runs + lookup_runs
        ),
        "aims": "throughput_ratio 0.9, p99_ratio 1.25, lookups 3780/s",
    }


def _measure_memory(
    running: fleet.Fleet, pid: int, address: str, idle_mb: float
) -> None:
    import socket

    host, _, port = address.rpartition(":")
    before = measure.rss_mb(pid)
    sockets = [
        socket.create_connection((host, int(port)))
        for _ in range(IDLE_CONNECTIONS)
    ]
    for connection in sockets:
        connection.sendall(
            b"GET /.pollenseam/health HTTP/1.1\r\nHost: x\r\n\r\n"
        )
    for connection in sockets:
        connection.recv(65536)
    after = measure.rss_mb(pid)
    for connection in sockets:
        connection.close()
    measure.record(
        "memory",
        {
            "idle_mb": idle_mb,
            "before_connections_mb": before,
            "with_2000_connections_mb": after,
            "aim": "idle under 100 MB",
        },
    )


if __name__ == "__main__":
    main()
