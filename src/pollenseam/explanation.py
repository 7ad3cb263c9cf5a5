"""The story of one request, from the event logs of several processes."""

from collections.abc import Iterable

from pollenseam import timeline

# What changes a VM's belief about its settings and where they come from.
SETTINGS_STATE_EVENTS = frozenset(
    {
        "registry-in-force",
        "settings-fresh",
        "settings-stale",
        "source-unreachable",
        "source-behind",
        "leader-unreachable",
        "started",
    }
)
UPSTREAM_EVENTS = frozenset({"upstream", "upstreams-lost"})


class Explanation:
    """What logs say of one request.

    Attributes:
        own: The request's own events, in order.
        before: What its VM believed when it came: the last event of each
            kind before the request's first one.
        upstreams: What became known of the upstreams that it was sent to.
        change: The last accepted change of the settings that decided it, or
            None.
        unread: Lines that are no events.
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
        """Returns it as text, in the order in which it is to be read."""
        found = ["# the request"] + [
            event.line for event in self.request_events
        ]
        if not self.request_events:
            found = ["# no event of this request; lines may have been dropped"]
        if self.settings_state:
            found += ["# what its VM believed"]
            found += [event.line for event in self.settings_state]
        if self.settings_change is not None:
            found += ["# the last change of the settings that decided"]
            found += [self.settings_change.line]
        if self.upstream_events:
            found += ["# the upstreams that it was sent to"]
            found += [event.line for event in self.upstream_events]
        if self.skipped_lines:
            found += [f"# {self.skipped_lines} lines are no events"]
        return found


def explain(request_id: str, sources: Iterable[Iterable[str]]) -> Explanation:
    """Returns the story of a request.

    Args:
        request: The request's id.
        sources: Lines of each process's log.
    """
    unread = timeline.SkippedLines()
    merged = list(timeline.merge(sources, unread))
    story = Explanation()
    story.skipped_lines = unread.count
    story.request_events = [
        e for e in merged if e.fields.get("request") == request_id
    ]
    if not story.request_events:
        return story
    story.settings_state = _settings_state_before(
        story.request_events[0], merged
    )
    ids = {e.fields.get("upstream", "") for e in story.request_events} - {""}
    concerning = [e for e in merged if _is_about_upstreams(e, ids)]
    story.upstream_events = sorted(concerning, key=lambda event: event.ts)
    story.settings_change = _deciding_change(story.request_events, merged)
    return story


def _settings_state_before(
    first: timeline.Event, merged: list[timeline.Event]
) -> list[timeline.Event]:
    # Logical time starts anew with each boot; the VM's own clock does not.
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
    named = event.fields.get("ids", "").split(",")
    named.append(event.fields.get("id", ""))
    return not upstreams.isdisjoint(named)


def _deciding_change(
    own: list[timeline.Event], merged: list[timeline.Event]
) -> timeline.Event | None:
    indexes = [_parse_index(e.fields.get("settings_index")) for e in own]
    decided = max(indexes, default=-1)
    changes = [
        event
        for event in merged
        if event.fields["event"] == "patch"
        and event.fields.get("outcome") == "accepted"
        and 0 <= _parse_index(event.fields.get("index")) <= decided
    ]
    return max(
        changes, key=lambda e: _parse_index(e.fields.get("index")), default=None
    )


def _parse_index(text: str | None) -> int:
    return int(text) if text is not None and text.isdecimal() else -1
