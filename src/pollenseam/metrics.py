"""Counters and latencies of one VM, in the Prometheus text format."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator

from hdrh import histogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 99.0, 99.9)
# Series of one metric. Further label values share a series whose labels have
# the value OVERFLOW_VALUE.
MAX_SERIES = 200
OVERFLOW_VALUE = "other"


class Counter:
    """A counter with labels and at most MAX_SERIES series.

    One more series counts all events with further label values.

    Attributes:
        name: Name of the metric, without the prefix "pollenseam_".
        labels: Names of the labels.
        counts: Number of events, by label values.
    """

    __slots__ = ("name", "labels", "counts")

    def __init__(self, name: str, *labels: str) -> None:
        self.name = name
        self.labels = labels
        self.counts: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )

    def add(self, *values: str, amount: int = 1) -> None:
        """Counts one event, or increases the counter by `amount`.

        Args:
            *values: Values of the labels, in the order of `labels`.
            amount: What to add.
        """
        if values not in self.counts and len(self.counts) >= MAX_SERIES:
            values = (OVERFLOW_VALUE,) * len(self.labels)
        self.counts[values] += amount

    def lines(self) -> Iterator[str]:
        """Yields the lines of the metric in the Prometheus text format."""
        yield f"# TYPE pollenseam_{self.name} counter"
        for values, count in sorted(self.counts.items()):
            pairs = zip(self.labels, values, strict=True)
            yield f"pollenseam_{self.name}{_format_labels(pairs)} {count}"


class Gauge:
    """A gauge with labels, of which a few series exist at a time.

    Attributes:
        name: Name of the metric, without the prefix "pollenseam_".
        labels: Names of the labels.
        values: Values by label values.
    """

    __slots__ = ("name", "labels", "values")

    def __init__(self, name: str, *labels: str) -> None:
        self.name = name
        self.labels = labels
        self.values: dict[tuple[str, ...], float] = {}

    def lines(self) -> Iterator[str]:
        """Yields the lines of the metric in the Prometheus text format."""
        yield f"# TYPE pollenseam_{self.name} gauge"
        for values, value in sorted(self.values.items())[:MAX_SERIES]:
            pairs = zip(self.labels, values, strict=True)
            yield f"pollenseam_{self.name}{_format_labels(pairs)} {value:.6g}"


class Summary:
    """A summary of latencies with one label and at most MAX_SERIES series.

    One more series has the latencies with further label values.

    Attributes:
        name: Name of the metric, without the prefix "pollenseam_".
        label: Name of the label.
        histograms: Histogram of latencies in microseconds, by label value.
    """

    __slots__ = ("name", "label", "histograms")

    def __init__(self, name: str, label: str) -> None:
        self.name = name
        self.label = label
        self.histograms: dict[str, histogram.HdrHistogram] = {}

    def observe(self, value: str, seconds: float) -> None:
        """Records one latency.

        Args:
            value: Value of the label.
            seconds: Latency in seconds.
        """
        if value not in self.histograms and len(self.histograms) >= MAX_SERIES:
            value = OVERFLOW_VALUE
        latencies = self.histograms.get(value)
        if latencies is None:
            latencies = self.histograms[value] = histogram.HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        latencies.record_value(max(LOWEST_MICROSECONDS, int(seconds * 1e6)))

    def lines(self) -> Iterator[str]:
        """Yields the lines of the metric in the Prometheus text format."""
        name = f"pollenseam_{self.name}"
        yield f"# TYPE {name} summary"
        for value, latencies in sorted(self.histograms.items()):
            label_pair = (self.label, value)
            for quantile in QUANTILES:
                seconds = latencies.get_value_at_percentile(quantile) / 1e6
                pairs = _format_labels(
                    [label_pair, ("quantile", f"{quantile / 100:g}")]
                )
                yield f"{name}{pairs} {seconds:.6f}"
            yield (
                f"{name}_count{_format_labels([label_pair])} "
                f"{latencies.get_total_count()}"
            )


class EntryMetrics:
    """Metrics of an entry VM.

    Attributes:
        answers: Answers to callers, by route and status or error kind.
        workspaces: Answers to callers, by workspace and "answered" or error
            kind.
        attempts: Requests sent to upstreams, by service and outcome.
        connects: Connections to upstreams, by service and outcome.
        relays: Calls given to other VMs, by service and outcome.
        hedges: Late calls, by route and outcome of their hedge, or by the
            reason for which there was none.
        hedge_milliseconds: Time for which attempts that lost kept their
            upstreams at work, by route.
        statements: What upstreams stated, by kind and outcome.
        refused_ranks: Requests refused for lack of room, by service, rank and
            reason: "rank", "fair-share" or "no-room".
        admitted_ratios: Part (0 to 1) of the demand that is admitted, by
            service and rank; only of services that are short of room.
        latencies: Time from arrival to the upstream's response, by route.
        refusal_latencies: Time from arrival to a refusal, by error kind.
        apply_latencies: Time to put a change of the registry in force, by
            content of the transfer: "changes" or "whole".
    """

    __slots__ = (
        "answers",
        "workspaces",
        "attempts",
        "connects",
        "relays",
        "hedges",
        "hedge_milliseconds",
        "statements",
        "refused_ranks",
        "admitted_ratios",
        "latencies",
        "refusal_latencies",
        "apply_latencies",
    )

    def __init__(self) -> None:
        self.answers = Counter("answers_total", "route", "outcome")
        self.workspaces = Counter("workspace_total", "workspace", "outcome")
        self.attempts = Counter("tries_total", "service", "outcome")
        self.connects = Counter("connects_total", "service", "outcome")
        self.relays = Counter("relays_total", "service", "outcome")
        self.hedges = Counter("hedges_total", "route", "outcome")
        self.hedge_milliseconds = Counter(
            "hedge_extra_milliseconds_total", "route"
        )
        self.statements = Counter("statements_total", "kind", "outcome")
        self.refused_ranks = Counter(
            "refused_ranks_total", "service", "rank", "reason"
        )
        self.admitted_ratios = Gauge("admitted_ratio", "service", "rank")
        self.latencies = Summary("latency_seconds", "route")
        self.refusal_latencies = Summary("refusal_held_seconds", "kind")
        self.apply_latencies = Summary("registry_apply_seconds", "content")

    def expose(self, gauges: dict[str, float]) -> str:
        """Returns all metrics in the Prometheus text format.

        Args:
            gauges: Values of gauges to include, by name without the prefix.
        """
        counters = (
            self.connects,
            self.relays,
            self.hedges,
            self.hedge_milliseconds,
            self.statements,
            self.attempts,
            self.answers,
            self.workspaces,
            self.refused_ranks,
            self.admitted_ratios,
        )
        latencies = (
            self.latencies,
            self.refusal_latencies,
            self.apply_latencies,
        )
        return format_exposition(gauges, [*counters, *latencies])


class ControlMetrics:
    """Metrics of a control VM.

    Attributes:
        calls: Requests to the control and directory addresses, by call (or
            path) and status.
        latencies: Time from arrival to the answer of such requests, by call.
        renewals: Lease renewals of entry VMs, by outcome.
        borrows: Requests of entry VMs for reserve tokens, by outcome.
        watches: Answered watches, by role of the VM that watches.
    """

    __slots__ = ("calls", "latencies", "renewals", "borrows", "watches")

    def __init__(self) -> None:
        self.calls = Counter("calls_total", "call", "outcome")
        self.latencies = Summary("call_seconds", "call")
        self.renewals = Counter("renewals_total", "outcome")
        self.borrows = Counter("borrows_total", "outcome")
        self.watches = Counter("watches_total", "asker")

    def expose(self, gauges: dict[str, float]) -> str:
        """Returns all metrics in the Prometheus text format.

        Args:
            gauges: Values of gauges to include, by name without the prefix.
        """
        parts = (
            self.calls,
            self.latencies,
            self.renewals,
            self.borrows,
            self.watches,
        )
        return format_exposition(gauges, parts)


def format_exposition(
    gauges: dict[str, float], parts: Iterable[Counter | Gauge | Summary]
) -> str:
    """Returns gauges, counters and summaries in the Prometheus text format.

    Args:
        gauges: Values of gauges, by name without the prefix.
        parts: Metrics with labels.
    """
    lines = list(_format_gauges(gauges))
    for part in parts:
        lines += part.lines()
    return "\n".join(lines) + "\n"


def _format_gauges(gauges: dict[str, float]) -> Iterator[str]:
    for name, value in gauges.items():
        yield f"# TYPE pollenseam_{name} gauge"
        yield f"pollenseam_{name} {value:.6g}"


def _format_labels(pairs: Iterable[tuple[str, str]]) -> str:
    return "{" + ",".join(f'{name}="{_escape(v)}"' for name, v in pairs) + "}"


def _escape(value: str) -> str:
    value = value.replace("\\", "\\\\").replace('"', '\\"')
    return value.replace("\n", "\\n")


class Metrics:
    """Metrics of a VM that runs `pollenseamd`.

    Attributes:
        served: Responses of upstreams passed on, by service.
        refused: Refusals, by error kind.
        workspace_served: Responses passed on, by workspace.
        workspace_refused: Refusals over the rate, by workspace.
        moved: Requests moved to another region, by shift.
        lookups: Number of look-ups answered.
        retries: Number of requests sent to an upstream again.
        sheds: Number of requests that upstreams shed.
        connects: Connections to upstreams, by service and outcome.
        relays: Requests given to other VMs, by service and outcome.
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
        "connects",
        "relays",
        "statements",
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
        self.connects = Counter("connects_total", "service", "outcome")
        self.relays = Counter("relays_total", "service", "outcome")
        self.statements = Counter("statements_total", "kind", "outcome")
        self.latencies = Summary("latency_seconds", "service")

    def observe(self, service: str, seconds: float) -> None:
        """Counts one response passed on, and its latency in seconds."""
        self.served[service] += 1
        self.latencies.observe(service, seconds)

    def expose(self, gauges: dict[str, float]) -> str:
        """Returns all metrics in the Prometheus text format.

        Args:
            gauges: Values of gauges to include, by name without the prefix.
        """
        return "\n".join(self._lines(gauges)) + "\n"

    def _lines(self, gauges: dict[str, float]) -> Iterator[str]:
        yield from _format_gauges(gauges)
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
                yield (
                    f"pollenseam_{name}{_format_labels([(label, key)])} "
                    f"{count}"
                )
        for name in ("lookups", "retries", "sheds"):
            yield f"# TYPE pollenseam_{name}_total counter"
            yield f"pollenseam_{name}_total {getattr(self, name)}"
        yield from self.connects.lines()
        yield from self.relays.lines()
        yield from self.statements.lines()
        yield from self.latencies.lines()
