"""The registry of items, upstreams and evacuations.

Control VMs build the registry from the quorum log. Entry VMs keep a copy that
they update by deltas.
"""

import collections

import msgspec

from pollenseam import items

MAX_DELTAS = 4096
# Records of stopped and expired upstreams are kept for this time, so that a
# delayed announcement does not add the upstream again.
ENDED_RETENTION_MS = 120_000

SERVING = "serving"
LEAVING = "leaving"
STOPPED = "gone"
EXPIRED = "lost"


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


class Delta(msgspec.Struct, array_like=True):
    """The changes that one entry of the quorum log made to the registry."""

    index: int
    changed_items: list[items.Item] = []
    upstreams: list[Upstream] = []
    evacuations: list[Evacuation] = []


class Snapshot(msgspec.Struct, array_like=True):
    """The complete content of a registry, as sent and stored."""

    index: int = 0
    stored_items: list[items.Item] = []
    upstreams: list[Upstream] = []
    evacuated: list[str] = []


class Registry:
    """Items, upstreams and evacuations as of one index of the log.

    Attributes:
        index: Index of the last change.
        items: Items by kind and name, deleted ones included.
        upstreams: Upstreams by id. Stopped and expired ones are kept for at
            least ENDED_RETENTION_MS.
        evacuated: Names of evacuated failure domains.
        deltas: The latest MAX_DELTAS deltas, oldest first.
        compacted_index: Index up to which deltas have been discarded.
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

    # Called on control VMs only.

    def patch(self, index: int, patch: list[items.Item]) -> None:
        """Stores the items of a patch that are newer than the stored ones.

        Raises:
            RefusedError: The patch is not valid; none of it was stored.
        """
        changed = items.select_newer(self.items, patch)
        if changed:
            items.validate_patch(self.items, changed)
            self._commit(Delta(index, changed_items=changed))

    def set_evacuation(
        self, index: int, failure_domain: str, is_evacuated: bool
    ) -> None:
        """Starts or ends the evacuation of a failure domain."""
        if (failure_domain in self.evacuated) != is_evacuated:
            evacuation = Evacuation(failure_domain, is_evacuated)
            self._commit(Delta(index, evacuations=[evacuation]))

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
            self._commit(Delta(index, upstreams=changed))
        self._delete_ended(clock_ms)

    def is_update(self, record: Upstream) -> bool:
        """Returns whether a record would change the registry.

        Delayed announcements and mere heartbeats do not. An announcement of a
        cold upstream does even if nothing else has changed.
        """
        current = self.upstreams.get(record.id)
        if current is None:
            return not self._is_superseded(record)
        if record.started_ms != current.started_ms:
            is_later = record.started_ms > current.started_ms
            return is_later and not self._is_superseded(record)
        if record.state == EXPIRED:
            is_latest = record.sequence >= current.sequence
            return current.state in (SERVING, LEAVING) and is_latest
        if current.state == STOPPED or record.sequence <= current.sequence:
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

    def _commit(self, delta: Delta) -> None:
        self._apply(delta)
        self.deltas.append(delta)
        while len(self.deltas) > MAX_DELTAS:
            self.compacted_index = self.deltas.popleft().index

    # Called on all VMs.

    def _apply(self, delta: Delta) -> None:
        for item in delta.changed_items:
            self.items[item.identity] = item
        for record in delta.upstreams:
            self.upstreams[record.id] = record
        for evacuation in delta.evacuations:
            if evacuation.is_evacuated:
                self.evacuated.add(evacuation.failure_domain)
            else:
                self.evacuated.discard(evacuation.failure_domain)
        self.index = delta.index

    def deltas_since(self, index: int) -> list[Delta] | None:
        """Returns the deltas after `index`, oldest first.

        The result is None if some of them have been discarded.
        """
        if index < self.compacted_index:
            return None
        newer: list[Delta] = []
        for delta in reversed(self.deltas):
            if delta.index <= index:
                break
            newer.append(delta)
        newer.reverse()
        return newer

    def apply_deltas(self, deltas: list[Delta]) -> list[Delta]:
        """Applies deltas of another registry.

        Deltas that are not later than the registry are skipped.

        Returns:
            The deltas that were applied.
        """
        later = [d for d in deltas if d.index > self.index]
        for delta in later:
            self._apply(delta)
        return later

    def snapshot(self) -> Snapshot:
        """Returns the complete content, without deltas."""
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
    """Returns a registry with the content of a snapshot and no deltas."""
    registry = Registry()
    registry.index = snapshot.index
    registry.compacted_index = snapshot.index
    registry.items = {item.identity: item for item in snapshot.stored_items}
    registry.upstreams = {record.id: record for record in snapshot.upstreams}
    registry.evacuated = set(snapshot.evacuated)
    return registry
