"""Draws the latest results of bench.steering."""

import json
import pathlib

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from bench import measure
from bench import steering

OUTPUT_FOLDER = pathlib.Path(__file__).parent.parent / "docs" / "figures"
COLOURS = {
    "own": "#1b6e53",
    "round-robin": "#c98b2b",
    "least-connections": "#7a6fa8",
    "limit": "#555555",
}


def read(name: str) -> dict[str, float]:
    """Returns the figures of a result; {} if it was not measured."""
    path = measure.RESULTS / f"{name}.json"
    figures: dict[str, float] = {}
    if path.exists():
        figures = json.loads(path.read_text())
    return figures


def main() -> None:
    """Draws docs/figures/steering.png.

    Shows the p99 latency and the ratio of requests answered with status 200,
    by load and policy. "limit" is the latency of an ideal queue.
    """
    loads = [f"{ratio:g}" for ratio in steering.LOADS]
    results = {p: read(f"steering-none-{p}") for p in steering.POLICIES}
    limit = read("steering-limit")
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    width = 0.2
    for index, (policy, figures) in enumerate(results.items()):
        positions = [n + (index - 1) * width for n in range(len(loads))]
        colour = COLOURS[policy]
        p99 = [figures.get(f"{load}_p99_ms", 0.0) for load in loads]
        good = [figures.get(f"{load}_good_ratio", 0.0) for load in loads]
        left.bar(positions, p99, width, label=policy, color=colour)
        right.bar(positions, good, width, label=policy, color=colour)
    positions = [n + 2 * width for n in range(len(loads))]
    p99 = [limit.get(f"{load}_p99_ms", 0.0) for load in loads]
    left.bar(positions, p99, width, label="limit", color=COLOURS["limit"])
    labels = [f"{ratio:.0%}" for ratio in steering.LOADS]
    for axes, title in ((left, "p99, ms"), (right, "answered")):
        axes.set_xticks([n + width / 2 for n in range(len(loads))], labels)
        axes.set_xlabel("load, of capacity")
        axes.set_title(title)
        axes.spines[["top", "right"]].set_visible(False)
    right.set_ylim(0.0, 1.05)
    left.legend(frameon=False)
    figure.tight_layout()
    OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    figure.savefig(OUTPUT_FOLDER / "steering.png", dpi=100)


if __name__ == "__main__":
    main()
