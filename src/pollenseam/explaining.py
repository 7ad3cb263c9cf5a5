"""The story of one request, from the event logs of several processes."""

from collections.abc import Iterable

from pollenseam import timeline

# What changes a VM's belief about its settings and where they come from.
BELIEFS = frozenset(
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


class Story:
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

    __slots__ = ("own", "before", "upstreams", "change", "unread")

    def __init__(self) -> None:
        self.own: list[timeline.Event] = []
        self.before: list[timeline.Event] = []
        self.upstreams: list[timeline.Event] = []
        self.change: timeline.Event | None = None
        self.unread = 0

    def lines(self) -> list[str]:
        """Returns it as text, in the order in which it is to be read."""
        found = ["# the request"] + [event.line for event in self.own]
        if not self.own:
            found = ["# no event of this request; lines may have been dropped"]
        if self.before:
            found += ["# what its VM believed"]
            found += [event.line for event in self.before]
        if self.change is not None:
            found += ["# the last change of the settings that decided"]
            found += [self.change.line]
        if self.upstreams:
            found += ["# the upstreams that it was sent to"]
            found += [event.line for event in self.upstreams]
        if self.unread:
            found += [f"# {self.unread} lines are no events"]
        return found


def explain(request: str, sources: Iterable[Iterable[str]]) -> Story:
    """Returns the story of a request.

    Args:
        request: The request's id.
        sources: Lines of each process's log.
    """
    unread = timeline.Unread()
    merged = list(timeline.merge(sources, unread))
    story = Story()
    story.unread = unread.count
    story.own = [e for e in merged if e.fields.get("request") == request]
    if not story.own:
        return story
    story.before = _beliefs(story.own[0], merged)
    ids = {e.fields.get("upstream", "") for e in story.own} - {""}
    concerning = [e for e in merged if _concerns(e, ids)]
    story.upstreams = sorted(concerning, key=lambda event: event.ts)
    story.change = _deciding_change(story.own, merged)
    return story


def _beliefs(
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
        if kind in BELIEFS:
            latest[kind] = event
    return list(latest.values())


def _concerns(event: timeline.Event, upstreams: set[str]) -> bool:
    if event.fields["event"] not in UPSTREAM_EVENTS:
        return False
    named = event.fields.get("ids", "").split(",")
    named.append(event.fields.get("id", ""))
    return not upstreams.isdisjoint(named)


def _deciding_change(
    own: list[timeline.Event], merged: list[timeline.Event]
) -> timeline.Event | None:
    indexes = [_number(e.fields.get("settings_index")) for e in own]
    decided = max(indexes, default=-1)
    changes = [
        event
        for event in merged
        if event.fields["event"] == "patch"
        and event.fields.get("outcome") == "accepted"
        and 0 <= _number(event.fields.get("index")) <= decided
    ]
    return max(
        changes, key=lambda e: _number(e.fields.get("index")), default=None
    )


def _number(text: str | None) -> int:
    return int(text) if text is not None and text.isdecimal() else -1
