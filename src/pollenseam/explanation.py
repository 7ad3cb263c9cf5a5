"""Explains one request from the event logs of several processes."""

from collections.abc import Iterable

from pollenseam import timeline

# Events that show which settings a VM had in force, whether they were fresh and
# whether their source, the leader or the upstreams were reachable.
SETTINGS_STATE_EVENTS = frozenset(
    {
        "registry-in-force",
        "settings-fresh",
        "settings-stale",
        "source-unreachable",
        "source-behind",
        "leader-unreachable",
        "service-unreached",
        "service-reached",
        "started",
    }
)
UPSTREAM_EVENTS = frozenset(
    {
        "upstream",
        "upstreams-lost",
        "stated-limit",
        "stated-leaving",
        "stated-pause",
        "pause-ended",
        "statement-cleared",
    }
)


class Explanation:
    """The logged events that concern one request.

    Attributes:
        request_events: Events with the request's id, in causal order.
        settings_state: State of the VM's settings when the request arrived:
            the last event of each kind in SETTINGS_STATE_EVENTS since the VM
            started and up to the request's first event.
        upstream_events: Events about the upstreams that the request was sent
            to, by wall-clock time.
        settings_change: The last accepted change of the settings that the
            request was decided by, or None.
        skipped_lines: Number of log lines that are not events.
    """

    __slots__ = (
        "request_events",
        "settings_state",
        "upstream_events",
        "settings_change",
        "skipped_lines",
    )

    def __init__(self) -> None:
        self.request_events: list[timeline.Event] = []
        self.settings_state: list[timeline.Event] = []
        self.upstream_events: list[timeline.Event] = []
        self.settings_change: timeline.Event | None = None
        self.skipped_lines = 0

    def to_lines(self) -> list[str]:
        """Returns the explanation as lines of text, under headings."""
        lines = ["# the request"] + [
            event.line for event in self.request_events
        ]
        if not self.request_events:
            lines = ["# no event of this request; lines may have been dropped"]
        if self.settings_state:
            lines += ["# the settings of the VM when the request arrived"]
            lines += [event.line for event in self.settings_state]
        if self.settings_change is not None:
            lines += ["# the last accepted change of the settings in force"]
            lines += [self.settings_change.line]
        if self.upstream_events:
            lines += ["# the upstreams that the request was sent to"]
            lines += [event.line for event in self.upstream_events]
        if self.skipped_lines:
            lines += [f"# {self.skipped_lines} lines are not events"]
        return lines


def explain(request_id: str, sources: Iterable[Iterable[str]]) -> Explanation:
    """Finds the events that concern a request.

    Args:
        request_id: Id of the request.
        sources: Lines of the log of each process.

    Returns:
        The explanation; only `skipped_lines` is set if no log has an event of
        the request.
    """
    skipped = timeline.SkippedLines()
    merged = list(timeline.merge(sources, skipped))
    result = Explanation()
    result.skipped_lines = skipped.count
    result.request_events = [
        e for e in merged if e.fields.get("request") == request_id
    ]
    if not result.request_events:
        return result
    result.settings_state = _settings_state_before(
        result.request_events[0], merged
    )
    ids = {e.fields.get("upstream", "") for e in result.request_events} - {""}
    matching = [e for e in merged if _is_about_upstreams(e, ids)]
    result.upstream_events = sorted(matching, key=lambda event: event.ts)
    result.settings_change = _deciding_change(result.request_events, merged)
    return result


def _settings_state_before(
    first: timeline.Event, merged: list[timeline.Event]
) -> list[timeline.Event]:
    # By wall-clock time, because logical time restarts at 0 with each process.
    earlier = [e for e in merged if e.vm == first.vm and e.ts <= first.ts]
    earlier.sort(key=lambda event: event.ts)
    latest: dict[str, timeline.Event] = {}
    for event in earlier:
        kind = event.fields["event"]
        if kind == "started":
            latest.clear()
        if kind in SETTINGS_STATE_EVENTS:
            latest[kind] = event
    return list(latest.values())


def _is_about_upstreams(event: timeline.Event, upstreams: set[str]) -> bool:
    if event.fields["event"] not in UPSTREAM_EVENTS:
        return False
    ids = event.fields.get("ids", "").split(",")
    ids.append(event.fields.get("id", ""))
    ids.append(event.fields.get("upstream", ""))
    return not upstreams.isdisjoint(ids)


def _deciding_change(
    request_events: list[timeline.Event], merged: list[timeline.Event]
) -> timeline.Event | None:
    indexes = [
        _parse_index(e.fields.get("settings_index")) for e in request_events
    ]
    latest_index = max(indexes, default=-1)
    changes = [
        event
        for event in merged
        if event.fields["event"] == "patch"
        and event.fields.get("outcome") == "accepted"
        and 0 <= _parse_index(event.fields.get("index")) <= latest_index
    ]
    return max(
        changes, key=lambda e: _parse_index(e.fields.get("index")), default=None
    )


def _parse_index(text: str | None) -> int:
    return int(text) if text is not None and text.isdecimal() else -1
