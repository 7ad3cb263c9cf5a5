"""Counts and latencies of one VM, and their text exposition."""

import collections
from collections.abc import Iterator

from hdrh import histogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 99.0, 99.9)


class Metrics:
    """What one VM counts.

    Attributes:
        served: Answers of upstreams passed on, by service.
        refused: Refusals by error kind.
        workspace_served: Answers by workspace.
        workspace_refused: Refusals over the rate by workspace.
        moved: Requests moved by shifts, by shift.
        lookups: Look-ups answered.
        retries: Requests sent again.
        sheds: Shed answers of upstreams.
        latencies: Time from arrival to the end of the answer, by service.
    """

    __slots__ = (
        "served",
        "refused",
        "workspace_served",
        "workspace_refused",
        "moved",
        "lookups",
        "retries",
        "sheds",
        "latencies",
    )

    def __init__(self) -> None:
        self.served: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.workspace_served: collections.Counter[str] = collections.Counter()
        self.workspace_refused: collections.Counter[str] = collections.Counter()
        self.moved: collections.Counter[str] = collections.Counter()
        self.lookups = 0
        self.retries = 0
        self.sheds = 0
        self.latencies: dict[str, histogram.HdrHistogram] = {}

    def observe(self, service: str, seconds: float) -> None:
        """Records the latency of one answer."""
        self.served[service] += 1
        found = self.latencies.get(service)
        if found is None:
            found = self.latencies[service] = histogram.HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        found.record_value(max(LOWEST_MICROSECONDS, int(seconds * 1e6)))

    def expose(self, gauges: dict[str, float]) -> str:
        """Returns all metrics, and gauges, in the text exposition format."""
        return "\n".join(self._lines(gauges)) + "\n"

    def _lines(self, gauges: dict[str, float]) -> Iterator[str]:
        for name, value in gauges.items():
            yield f"# TYPE pollenseam_{name} gauge"
            yield f"pollenseam_{name} {value:.6g}"
        counters = (
            ("served_total", "service", self.served),
            ("refused_total", "kind", self.refused),
            ("workspace_served_total", "workspace", self.workspace_served),
            ("workspace_refused_total", "workspace", self.workspace_refused),
            ("moved_total", "shift", self.moved),
        )
        for name, label, counter in counters:
            yield f"# TYPE pollenseam_{name} counter"
            for key, count in sorted(counter.items()):
                yield f'pollenseam_{name}{{{label}="{key}"}} {count}'
        for name in ("lookups", "retries", "sheds"):
            yield f"# TYPE pollenseam_{name}_total counter"
            yield f"pollenseam_{name}_total {getattr(self, name)}"
        yield "# TYPE pollenseam_latency_seconds summary"
        for service, found in sorted(self.latencies.items()):
            yield from _summary(service, found)


def _summary(service: str, found: histogram.HdrHistogram) -> Iterator[str]:
    name = "pollenseam_latency_seconds"
    for quantile in QUANTILES:
        seconds = found.get_value_at_percentile(quantile) / 1e6
        labels = f'service="{service}",quantile="{quantile / 100:g}"'
        yield f"{name}{{{labels}}} {seconds:.6f}"
    yield f'{name}_count{{service="{service}"}} {found.get_total_count()}'
