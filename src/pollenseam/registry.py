"""The registry: items, upstreams and evacuations, as the quorum log has them.

Control VMs build it from the log; entry VMs follow it by its changes.
"""

import collections

import msgspec

from pollenseam import items

MAX_CHANGES = 4096
# An ended upstream is remembered this long, so that a late announcement of
# it does not bring it back.
FORGET_MS = 120_000

SERVING = "serving"
LEAVING = "leaving"
GONE = "gone"
LOST = "lost"


class Upstream(msgspec.Struct, array_like=True):
    """One start of an upstream, as it announced itself last.

    Attributes:
        id: Name of the instance; may come back with a later `born_ms`.
        born_ms: Unix milliseconds of its start.
        sequence: Counts its announcements.
        service: Name of its service.
        address: IP:PORT.
        failure_domain: Where it stands.
        slots: Requests it runs at a time.
        state: SERVING, LEAVING, GONE, or LOST when it went silent.
        cold_ms: How much longer it is cold, when it was recorded.
        noted_ms: State clock when it was recorded.
    """

    id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    failure_domain: str
    slots: int
    state: str
    cold_ms: int = 0
    noted_ms: int = 0


class Evacuation(msgspec.Struct, array_like=True):
    """Whether a failure domain's upstreams get nothing."""

    failure_domain: str
    is_on: bool


class Change(msgspec.Struct, array_like=True):
    """What one entry of the log changed."""

    index: int
    written: list[items.Item] = []
    upstreams: list[Upstream] = []
    evacuations: list[Evacuation] = []


class Image(msgspec.Struct, array_like=True):
    """A whole registry."""

    index: int = 0
    written: list[items.Item] = []
    upstreams: list[Upstream] = []
    evacuated: list[str] = []


class Registry:
    """Items, upstreams and evacuations as of one index of the log.

    Attributes:
        index: Index of the last change.
        items: By kind and name, deleted ones included.
        upstreams: By id, ended ones included for FORGET_MS.
        evacuated: Failure domains whose upstreams get nothing.
        changes: Latest changes, oldest first, bounded.
        floor: Index after which `changes` is complete.
    """

    __slots__ = (
        "index",
        "items",
        "upstreams",
        "evacuated",
        "changes",
        "floor",
    )

    def __init__(self) -> None:
        self.index = 0
        self.items: items.Items = {}
        self.upstreams: dict[str, Upstream] = {}
        self.evacuated: set[str] = set()
        self.changes: collections.deque[Change] = collections.deque()
        self.floor = 0

    # On control VMs.

    def patch(self, index: int, patch: list[items.Item]) -> None:
        """Puts the items that are newer than what is held in force.

        Raises:
            RefusedError: The patch is not valid; nothing of it is in force.
        """
        changed = items.effective(self.items, patch)
        if changed:
            items.check(self.items, changed)
            self._commit(Change(index, written=changed))

    def evacuate(self, index: int, failure_domain: str, is_on: bool) -> None:
        """Empties a failure domain, or takes it back."""
        if (failure_domain in self.evacuated) != is_on:
            evacuation = Evacuation(failure_domain, is_on)
            self._commit(Change(index, evacuations=[evacuation]))

    def record(
        self, index: int, clock_ms: int, records: list[Upstream]
    ) -> None:
        """Takes in announcements that are later than what is known."""
        changed: list[Upstream] = []
        for record in records:
            if not self.is_news(record):
                continue
            record.noted_ms = clock_ms
            changed.append(record)
            if record.state == SERVING:
                changed += self._displaced(record, clock_ms)
        if changed:
            self._commit(Change(index, upstreams=changed))
        self._forget(clock_ms)

    def is_news(self, record: Upstream) -> bool:
        """Tells whether an announcement changes what is known."""
        known = self.upstreams.get(record.id)
        if known is None:
            return not self._is_overtaken(record)
        if record.born_ms != known.born_ms:
            later = record.born_ms > known.born_ms
            return later and not self._is_overtaken(record)
        if record.state == LOST:
            same = record.sequence >= known.sequence
            return known.state in (SERVING, LEAVING) and same
        if known.state == GONE or record.sequence <= known.sequence:
            return False
        if known.state == LEAVING and record.state == SERVING:
            # It does not come back under the same start.
            return False
        return _content(record) != _content(known) or record.cold_ms > 0

    def _is_overtaken(self, record: Upstream) -> bool:
        """Tells whether a later start has taken the address over."""
        return any(
            other.address == record.address
            and other.id != record.id
            and other.born_ms > record.born_ms
            for other in self.upstreams.values()
        )

    def _displaced(self, record: Upstream, clock_ms: int) -> list[Upstream]:
        """Returns older starts that held the address, as gone."""
        return [
            msgspec.structs.replace(other, state=GONE, noted_ms=clock_ms)
            for other in self.upstreams.values()
            if other.address == record.address
            and other.id != record.id
            and other.state != GONE
        ]

    def _forget(self, clock_ms: int) -> None:
        ended = [
            id
            for id, record in self.upstreams.items()
            if record.state in (GONE, LOST)
            and clock_ms - record.noted_ms > FORGET_MS
        ]
        for id in ended:
            del self.upstreams[id]

    def _commit(self, change: Change) -> None:
        self._take(change)
        self.changes.append(change)
        while len(self.changes) > MAX_CHANGES:
            self.floor = self.changes.popleft().index

    # On all VMs.

    def _take(self, change: Change) -> None:
        for item in change.written:
            self.items[item.place] = item
        for record in change.upstreams:
            self.upstreams[record.id] = record
        for evacuation in change.evacuations:
            if evacuation.is_on:
                self.evacuated.add(evacuation.failure_domain)
            else:
                self.evacuated.discard(evacuation.failure_domain)
        self.index = change.index

    def since(self, index: int) -> list[Change] | None:
        """Returns the changes after `index`, or None when too old."""
        if index < self.floor:
            return None
        newer: list[Change] = []
        for change in reversed(self.changes):
            if change.index <= index:
                break
            newer.append(change)
        newer.reverse()
        return newer

    def follow(self, changes: list[Change]) -> list[Change]:
        """Takes in later changes of another registry; returns those."""
        later = [c for c in changes if c.index > self.index]
        for change in later:
            self._take(change)
        return later

    def image(self) -> Image:
        """Returns the whole registry."""
        return Image(
            self.index,
            list(self.items.values()),
            list(self.upstreams.values()),
            sorted(self.evacuated),
        )


def _content(record: Upstream) -> tuple[str, str, str, int, str]:
    return (
        record.service,
        record.address,
        record.failure_domain,
        record.slots,
        record.state,
    )


def load(image: Image) -> Registry:
    """Returns the registry that an image holds."""
    registry = Registry()
    registry.index = image.index
    registry.floor = image.index
    registry.items = {item.place: item for item in image.written}
    registry.upstreams = {record.id: record for record in image.upstreams}
    registry.evacuated = set(image.evacuated)
    return registry
