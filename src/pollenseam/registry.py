"""The registry of items, upstreams and evacuations.

Control VMs build the registry from the quorum log. Entry VMs keep a copy that
they update page by page, see `registrysync`.
"""

import zlib
from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from pollenseam import bounds
from pollenseam import items
from pollenseam import upstreamstatements

# Encoded size above which a page is complete. A page takes 0.13 s on a link of
# 2 Mbit/s, so traffic on the same link hardly waits for it.
PAGE_BYTES = 32 * 1024
# Records of stopped and expired upstreams are kept for this time, so that a
# delayed announcement does not add the upstream again.
ENDED_RETENTION_MS = 120_000
# Encoded size above which the record of an upstream is not sent.
MAX_UPSTREAM_BYTES = 64 * 1024

SERVING = "serving"
LEAVING = "leaving"
STOPPED = "gone"
EXPIRED = "lost"

UPSTREAM = "upstream"
EVACUATION = "evacuation"


_encode = msgspec.msgpack.Encoder().encode


class Upstream(msgspec.Struct, array_like=True):
    """The latest record of one upstream instance.

    Attributes:
        id: Name of the instance. A restarted instance may use it again, with a
            later `started_ms`.
        started_ms: Start of the instance, in Unix milliseconds.
        sequence: Number of the announcement; increases with each one.
        service: Name of the service.
        address: IP:PORT.
        failure_domain: Name of the failure domain.
        slots: Requests that the instance runs concurrently.
        state: SERVING, LEAVING, STOPPED, or EXPIRED when its announcements
            have stopped without notice.
        cold_ms: Milliseconds for which the instance was still cold when it
            was recorded.
        recorded_ms: State clock, in milliseconds, when the instance was
            recorded.
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
    """Start or end of the evacuation of a failure domain.

    Upstreams of an evacuated failure domain get no requests.
    """

    failure_domain: str
    is_evacuated: bool


class Position(msgspec.Struct, array_like=True, frozen=True, order=True):
    """Place of a record in the order in which records last changed.

    Records that changed at the same index are ordered by kind and name. A
    record that changes again moves to a later position. All replicas of the
    log give a record the same position.

    Attributes:
        index: Index of the log entry that last changed the record.
        kind: Kind of item, UPSTREAM or EVACUATION.
        name: Name of the item, id of the upstream or name of the failure
            domain.
    """

    index: int = 0
    kind: str = ""
    name: str = ""


class Page(msgspec.Struct, array_like=True):
    """Records that follow a position, oldest change first.

    Attributes:
        is_first: Whether the page begins with the first record of the
            registry. The receiver drops the registry that it has, once the
            last page has arrived.
        is_last: Whether no records follow.
        end: Position of the last record of the page, or the requested one if
            there is none.
        changed_items: Items, without documents.
        upstreams: Upstreams.
        evacuations: Evacuations.
    """

    is_first: bool
    is_last: bool
    end: Position
    changed_items: list[items.Item] = []
    upstreams: list[Upstream] = []
    evacuations: list[Evacuation] = []

    def records(self) -> Iterator["Record"]:
        """Yields all records of the page."""
        yield from self.changed_items
        yield from self.upstreams
        yield from self.evacuations


Record = items.Item | Upstream | Evacuation


class Snapshot(msgspec.Struct, array_like=True):
    """The complete content of a registry, as stored on control VMs.

    Attributes:
        index: Index of the last change.
        stored_items: All items.
        upstreams: All upstreams.
        evacuated: Names of evacuated failure domains.
        positions: Positions of all records, in order.
        compacted_index: See `Registry`.
    """

    index: int = 0
    stored_items: list[items.Item] = []
    upstreams: list[Upstream] = []
    evacuated: list[str] = []
    positions: list[Position] = []
    compacted_index: int = 0


class Registry:
    """Items, upstreams and evacuations as of one index of the log.

    Attributes:
        index: Index of the last change.
        items: Items by kind and name, deleted ones included.
        upstreams: Upstreams by id. Stopped and expired ones are kept for at
            least ENDED_RETENTION_MS.
        evacuated: Names of evacuated failure domains.
        positions: Position of each record by kind and name, in order.
        compacted_index: Highest index at which a record changed that has been
            deleted since. A copy that is older may still have such a record.
    """

    __slots__ = (
        "index",
        "items",
        "upstreams",
        "evacuated",
        "positions",
        "compacted_index",
    )

    def __init__(self) -> None:
        self.index = 0
        self.items: items.Items = {}
        self.upstreams: dict[str, Upstream] = {}
        self.evacuated: set[str] = set()
        self.positions: dict[tuple[str, str], Position] = {}
        self.compacted_index = 0

    # Called on control VMs only.

    def patch(self, index: int, patch: list[items.Item]) -> None:
        """Stores the items of a patch that are newer than the stored ones.

        Raises:
            RefusedError: The patch is not valid; none of it was stored.
        """
        changed = items.select_newer(self.items, patch)
        if changed:
            items.validate_patch(self.items, changed)
            self._commit(index, changed)

    def set_evacuation(
        self, index: int, failure_domain: str, is_evacuated: bool
    ) -> None:
        """Starts or ends the evacuation of a failure domain."""
        if (failure_domain in self.evacuated) != is_evacuated:
            self._commit(index, [Evacuation(failure_domain, is_evacuated)])

    def record_upstreams(
        self, index: int, clock_ms: int, records: list[Upstream]
    ) -> None:
        """Stores the records that are updates, see `is_update`.

        An instance that is serving replaces the other instances at its
        address: these are marked as STOPPED. Deletes stopped and expired
        instances that were recorded more than ENDED_RETENTION_MS ago.
        """
        changed: list[Upstream] = []
        for record in records:
            if not self.is_update(record):
                continue
            record.recorded_ms = clock_ms
            changed.append(record)
            if record.state == SERVING:
                changed += self._superseded_by(record, clock_ms)
        if changed:
            self._commit(index, changed)
        self._delete_ended(clock_ms)

    def latest_start(self, id: str) -> upstreamstatements.Latest | None:
        """Returns the latest start of an upstream; None if it is not known."""
        record = self.upstreams.get(id)
        if record is None:
            return None
        return upstreamstatements.Latest(
            record.started_ms, record.state == STOPPED
        )

    def is_update(self, record: Upstream) -> bool:
        """Returns whether a record would change the registry.

        Delayed announcements and mere heartbeats do not. An announcement of a
        cold upstream does even if nothing else has changed.
        """
        current = self.upstreams.get(record.id)
        if current is None:
            return not self._is_superseded(record)
        if record.started_ms != current.started_ms:
            if record.started_ms < current.started_ms:
                return False
            return record.state == STOPPED or not self._is_superseded(record)
        if record.state == EXPIRED:
            is_latest = record.sequence >= current.sequence
            return current.state in (SERVING, LEAVING) and is_latest
        if current.state == STOPPED:
            return False
        if record.state == STOPPED:
            # A stop is final, and its sequence is a guess: the notice has none.
            return True
        if record.sequence <= current.sequence:
            return False
        if current.state == LEAVING and record.state == SERVING:
            # An instance that is leaving serves again only after a restart.
            return False
        return (
            _announced_fields(record) != _announced_fields(current)
            or record.cold_ms > 0
        )

    def _is_superseded(self, record: Upstream) -> bool:
        """Returns whether a later instance uses the address of the record."""
        return any(
            other.address == record.address
            and other.id != record.id
            and other.started_ms > record.started_ms
            for other in self.upstreams.values()
        )

    def _superseded_by(self, record: Upstream, clock_ms: int) -> list[Upstream]:
        """Returns the other instances at the address, marked as STOPPED."""
        return [
            msgspec.structs.replace(other, state=STOPPED, recorded_ms=clock_ms)
            for other in self.upstreams.values()
            if other.address == record.address
            and other.id != record.id
            and other.state != STOPPED
        ]

    def _delete_ended(self, clock_ms: int) -> None:
        ended = [
            id
            for id, record in self.upstreams.items()
            if record.state in (STOPPED, EXPIRED)
            and clock_ms - record.recorded_ms > ENDED_RETENTION_MS
        ]
        for id in ended:
            del self.upstreams[id]
            position = self.positions.pop((UPSTREAM, id))
            self.compacted_index = max(self.compacted_index, position.index)

    def _commit(self, index: int, changed: Sequence[Record]) -> None:
        """Stores changed records and moves them to the end of the order."""
        for record in changed:
            self.store(record)
        names = {_kind_and_name(record) for record in changed}
        for kind, name in sorted(names):
            self.positions.pop((kind, name), None)
            self.positions[kind, name] = Position(index, kind, name)
        self.index = index

    # Copies on other VMs.

    def store(self, record: Record) -> None:
        """Stores one record, without a position."""
        if isinstance(record, items.Item):
            self.items[record.identity] = record
        elif isinstance(record, Upstream):
            self.upstreams[record.id] = record
        elif record.is_evacuated:
            self.evacuated.add(record.failure_domain)
        else:
            self.evacuated.discard(record.failure_domain)

    def discard_upstream(self, id: str) -> None:
        """Removes the record of an upstream, if there is one."""
        self.upstreams.pop(id, None)

    def upstreams_after(self, index: int) -> Iterator[Upstream]:
        """Yields the upstreams that changed after an index of the log."""
        for position in self._positions_after(Position(index + 1)):
            if position.kind == UPSTREAM:
                yield self.upstreams[position.name]

    def page_after(self, after: Position) -> Page:
        """Returns the records that follow a position, up to PAGE_BYTES."""
        page = Page(after == Position(), True, after, [], [], [])
        size = 0
        for position in self._positions_after(after):
            if size >= PAGE_BYTES:
                page.is_last = False
                break
            size += _append_record(page, self._record_at(position))
            page.end = position
        return page

    def _positions_after(self, after: Position) -> list[Position]:
        newer: list[Position] = []
        for position in reversed(self.positions.values()):
            if position <= after:
                break
            newer.append(position)
        newer.reverse()
        return newer

    def _record_at(self, position: Position) -> Record:
        if position.kind == UPSTREAM:
            return self.upstreams[position.name]
        if position.kind == EVACUATION:
            is_evacuated = position.name in self.evacuated
            return Evacuation(position.name, is_evacuated)
        return self.items[position.kind, position.name]

    def snapshot(self) -> Snapshot:
        """Returns the complete content."""
        return Snapshot(
            self.index,
            list(self.items.values()),
            list(self.upstreams.values()),
            sorted(self.evacuated),
            list(self.positions.values()),
            self.compacted_index,
        )


def _kind_and_name(record: Record) -> tuple[str, str]:
    if isinstance(record, items.Item):
        return record.identity
    if isinstance(record, Upstream):
        return UPSTREAM, record.id
    return EVACUATION, record.failure_domain


def _append_record(page: Page, record: Record) -> int:
    """Appends a record to a page; returns its encoded size in bytes."""
    if isinstance(record, items.Item):
        # Only control VMs need the document: operators read it there.
        record = msgspec.structs.replace(record, document=b"")
        page.changed_items.append(record)
        return len(_encode(record))
    size = len(_encode(record))
    if isinstance(record, Evacuation):
        page.evacuations.append(record)
    elif size <= MAX_UPSTREAM_BYTES:
        page.upstreams.append(record)
    else:
        # Of an earlier version; nobody can use it, and links are slow.
        record = ended_record(record.id, record.started_ms)
        page.upstreams.append(record)
    return size


def encoded_size(changed_items: list[items.Item]) -> int:
    """Returns the compressed size in bytes of items as sent to entry VMs."""
    page = Page(False, True, Position(), [], [], [])
    for item in changed_items:
        _append_record(page, item)
    return len(zlib.compress(_encode(page)))


def stop_record(
    id: str, started_ms: int, known: Upstream | None
) -> Upstream | None:
    """Returns the record of an upstream that gave notice of its stop.

    The record is kept for an unknown upstream too: an announcement that was
    delayed may follow the notice.

    Args:
        id: Id of the upstream.
        started_ms: Start of the upstream in Unix milliseconds; 0 if not known.
        known: The latest record of the upstream, or None.

    Returns:
        The record, or None if neither a record nor the start is known.
    """
    if known is not None:
        return msgspec.structs.replace(
            known,
            started_ms=started_ms or known.started_ms,
            state=STOPPED,
            sequence=min(known.sequence + 1, bounds.MAX_INTEGER),
        )
    if not started_ms:
        return None
    return ended_record(id, started_ms)


def ended_record(id: str, started_ms: int) -> Upstream:
    """Returns the record of a stopped upstream of which no more is known."""
    return Upstream(id, started_ms, 0, "", "", "", 0, STOPPED)


def _announced_fields(record: Upstream) -> tuple[str, str, str, int, str]:
    return (
        record.service,
        record.address,
        record.failure_domain,
        record.slots,
        record.state,
    )


def from_snapshot(snapshot: Snapshot) -> Registry:
    """Returns a registry with the content of a snapshot.

    Snapshots of earlier versions have no positions. All their records count as
    changed at the snapshot's index.
    """
    registry = Registry()
    registry.index = snapshot.index
    registry.compacted_index = snapshot.compacted_index
    records: list[Record] = [*snapshot.stored_items, *snapshot.upstreams]
    records += [Evacuation(name, True) for name in snapshot.evacuated]
    if records and not snapshot.positions:
        registry._commit(snapshot.index, records)
        registry.compacted_index = snapshot.index
        return registry
    for record in records:
        registry.store(record)
    registry.positions = {(p.kind, p.name): p for p in snapshot.positions}
    return registry
