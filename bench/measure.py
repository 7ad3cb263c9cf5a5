"""Helpers of the benchmarks: processes, their cost, and result files."""

import json
import os
import pathlib
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from collections.abc import Sequence

RESULTS = pathlib.Path(__file__).with_name("results")


def pin(pid: int, core: int) -> None:
    """Pins a process to one core, so that processes can be compared.

    Args:
        pid: The process.
        core: Index in the cores that this process may use; wraps around.
    """
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(pid, {cores[core % len(cores)]})


def median(values: Sequence[float]) -> float:
    """Returns the median of some values."""
    return statistics.median(values)


def record(name: str, figures: dict[str, object]) -> None:
    """Prints figures and writes them to bench/results/NAME.json.

    Args:
        name: Name of the result.
        figures: Figures by name.
    """
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    path.write_text(json.dumps(figures, indent=2, sort_keys=True) + "\n")
    print(f"{name}:")
    for key, value in figures.items():
        text = f"{value:.4g}" if isinstance(value, float) else str(value)
        print(f"  {key}: {text}")


def rss_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB (2**20 bytes)."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def cpu_seconds(pid: int) -> float:
    """Returns the user and system time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


def spawn(module: str, *arguments: str) -> "subprocess.Popen[bytes]":
    """Starts a Python module as a process, without input and output."""
    return subprocess.Popen(
        [sys.executable, "-m", module, *arguments],
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def median_seconds(function: Callable[[], object], repeat: int = 5) -> float:
    """Returns the median time of a call in seconds.

    Args:
        function: Function to call.
        repeat: Number of calls.
    """
    times = []
    for _ in range(repeat):
        started = time.perf_counter()
        function()
        times.append(time.perf_counter() - started)
    return median(times)
