"""The registry: items, upstreams and evacuations, as the quorum log has them.

Control VMs build it from the log; entry VMs follow it by its changes.
"""

import collections

import msgspec

from pollenseam import items

MAX_DELTAS = 4096
# An ended upstream is remembered this long, so that a late announcement of
# it does not bring it back.
ENDED_RETENTION_MS = 120_000

SERVING = "serving"
LEAVING = "leaving"
STOPPED = "gone"
EXPIRED = "lost"


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
    started_ms: int
    sequence: int
    service: str
    address: str
    failure_domain: str
    slots: int
    state: str
    cold_ms: int = 0
    recorded_ms: int = 0


class Evacuation(msgspec.Struct, array_like=True):
    """Whether a failure domain's upstreams get nothing."""

    failure_domain: str
    is_evacuated: bool


class Delta(msgspec.Struct, array_like=True):
    """What one entry of the log changed."""

    index: int
    changed_items: list[items.Item] = []
    upstreams: list[Upstream] = []
    evacuations: list[Evacuation] = []


class Snapshot(msgspec.Struct, array_like=True):
    """A whole registry."""

    index: int = 0
    stored_items: list[items.Item] = []
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
        "deltas",
        "compacted_index",
    )

    def __init__(self) -> None:
        self.index = 0
        self.items: items.Items = {}
        self.upstreams: dict[str, Upstream] = {}
        self.evacuated: set[str] = set()
        self.deltas: collections.deque[Delta] = collections.deque()
        self.compacted_index = 0

    # On control VMs.

    def patch(self, index: int, patch: list[items.Item]) -> None:
        """Puts the items that are newer than what is held in force.

        Raises:
            RefusedError: The patch is not valid; nothing of it is in force.
        """
        changed = items.select_newer(self.items, patch)
        if changed:
            items.validate_patch(self.items, changed)
            self._commit(Delta(index, changed_items=changed))

    def set_evacuation(
        self, index: int, failure_domain: str, is_evacuated: bool
    ) -> None:
        """Empties a failure domain, or takes it back."""
        if (failure_domain in self.evacuated) != is_evacuated:
            evacuation = Evacuation(failure_domain, is_evacuated)
            self._commit(Delta(index, evacuations=[evacuation]))

    def record_upstreams(
        self, index: int, clock_ms: int, records: list[Upstream]
    ) -> None:
        """Takes in announcements that are later than what is known."""
        changed: list[Upstream] = []
        for record in records:
            if not self.is_update(record):
                continue
            record.recorded_ms = clock_ms
            changed.append(record)
            if record.state == SERVING:
                changed += self._superseded_by(record, clock_ms)
        if changed:
            self._commit(Delta(index, upstreams=changed))
        self._delete_expired(clock_ms)

    def is_update(self, record: Upstream) -> bool:
        """Tells whether an announcement changes what is known."""
        known = self.upstreams.get(record.id)
        if known is None:
            return not self._is_superseded(record)
        if record.started_ms != known.started_ms:
            later = record.started_ms > known.started_ms
            return later and not self._is_superseded(record)
        if record.state == EXPIRED:
            same = record.sequence >= known.sequence
            return known.state in (SERVING, LEAVING) and same
        if known.state == STOPPED or record.sequence <= known.sequence:
            return False
        if known.state == LEAVING and record.state == SERVING:
            # It does not come back under the same start.
            return False
        return (
            _announced_fields(record) != _announced_fields(known)
            or record.cold_ms > 0
        )

    def _is_superseded(self, record: Upstream) -> bool:
        """Tells whether a later start has taken the address over."""
        return any(
            other.address == record.address
            and other.id != record.id
            and other.started_ms > record.started_ms
            for other in self.upstreams.values()
        )

    def _superseded_by(self, record: Upstream, clock_ms: int) -> list[Upstream]:
        """Returns older starts that held the address, as gone."""
        return [
            msgspec.structs.replace(other, state=STOPPED, recorded_ms=clock_ms)
            for other in self.upstreams.values()
            if other.address == record.address
            and other.id != record.id
            and other.state != STOPPED
        ]

    def _delete_expired(self, clock_ms: int) -> None:
        ended = [
            id
            for id, record in self.upstreams.items()
            if record.state in (STOPPED, EXPIRED)
            and clock_ms - record.recorded_ms > ENDED_RETENTION_MS
        ]
        for id in ended:
            del self.upstreams[id]

    def _commit(self, change: Delta) -> None:
        self._apply(change)
        self.deltas.append(change)
        while len(self.deltas) > MAX_DELTAS:
            self.compacted_index = self.deltas.popleft().index

    # On all VMs.

    def _apply(self, change: Delta) -> None:
        for item in change.changed_items:
            self.items[item.identity] = item
        for record in change.upstreams:
            self.upstreams[record.id] = record
        for evacuation in change.evacuations:
            if evacuation.is_evacuated:
                self.evacuated.add(evacuation.failure_domain)
            else:
                self.evacuated.discard(evacuation.failure_domain)
        self.index = change.index

    def deltas_since(self, index: int) -> list[Delta] | None:
        """Returns the changes after `index`, or None when too old."""
        if index < self.compacted_index:
            return None
        newer: list[Delta] = []
        for change in reversed(self.deltas):
            if change.index <= index:
                break
            newer.append(change)
        newer.reverse()
        return newer

    def apply_deltas(self, deltas: list[Delta]) -> list[Delta]:
        """Takes in later changes of another registry; returns those."""
        later = [c for c in deltas if c.index > self.index]
        for change in later:
            self._apply(change)
        return later

    def snapshot(self) -> Snapshot:
        """Returns the whole registry."""
        return Snapshot(
            self.index,
            list(self.items.values()),
            list(self.upstreams.values()),
            sorted(self.evacuated),
        )


def _announced_fields(record: Upstream) -> tuple[str, str, str, int, str]:
    return (
        record.service,
        record.address,
        record.failure_domain,
        record.slots,
        record.state,
    )


def from_snapshot(snapshot: Snapshot) -> Registry:
    """Returns the registry that an image holds."""
    registry = Registry()
    registry.index = snapshot.index
    registry.compacted_index = snapshot.index
    registry.items = {item.identity: item for item in snapshot.stored_items}
    registry.upstreams = {record.id: record for record in snapshot.upstreams}
    registry.evacuated = set(snapshot.evacuated)
    return registry
