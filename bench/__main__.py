"""Runs the whole bench: the hop, the control plane, the slopes, steering."""

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
    """Runs every step as a process of its own; returns the worst code."""
    codes = [
        subprocess.run([sys.executable, "-m", *step]).returncode
        for step in STEPS
    ]
    return max(codes)


if __name__ == "__main__":
    sys.exit(main())
