"""Runs all benchmarks and draws the plots."""

import subprocess
import sys

STEPS = (
    ("bench.hop",),
    ("bench.control", "9", "30"),
    ("bench.slopes",),
    ("bench.steering",),
    ("bench.plots",),
)


def main() -> int:
    """Runs each step in its own process; returns the highest exit code."""
    codes = [
        subprocess.run([sys.executable, "-m", *step]).returncode
        for step in STEPS
    ]
    return max(codes)


if __name__ == "__main__":
    sys.exit(main())
