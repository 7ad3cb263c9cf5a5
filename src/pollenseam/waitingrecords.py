"""Announcements of upstreams whose service the leader does not know yet."""

from pollenseam import items
from pollenseam import registry

# Announcements beyond this are refused and not kept.
MAX_RECORDS = 10_000


class WaitingRecords:
    """The latest announcements of upstreams whose service may still come.

    They are recorded with the service, so that its upstreams need not announce
    themselves once more before they are used.

    Attributes:
        keep_seconds: Time for which an announcement is kept.
        records: Announcements by id of the upstream.
        deadlines: Time in seconds until which each is kept, by id.
    """

    __slots__ = ("keep_seconds", "records", "deadlines")

    def __init__(self, keep_seconds: float) -> None:
        self.keep_seconds = keep_seconds
        self.records: dict[str, registry.Upstream] = {}
        self.deadlines: dict[str, float] = {}

    def add(self, record: registry.Upstream, now: float) -> None:
        """Keeps an announcement, unless a later one is known."""
        known = self.records.get(record.id)
        if known is None and len(self.records) >= MAX_RECORDS:
            return
        if known is None or _order(record) >= _order(known):
            self.records[record.id] = record
            self.deadlines[record.id] = now + self.keep_seconds

    def take_ready(
        self, current: registry.Registry, now: float
    ) -> list[registry.Upstream]:
        """Removes and returns those whose service is known now.

        Removes also those that were kept long enough.
        """
        ready: list[registry.Upstream] = []
        for id, record in list(self.records.items()):
            if self.deadlines[id] <= now:
                self._remove(id)
            elif has_service(current, record.service):
                self._remove(id)
                ready.append(record)
        return ready

    def _remove(self, id: str) -> None:
        del self.records[id]
        del self.deadlines[id]


def has_service(current: registry.Registry, name: str) -> bool:
    """Returns whether a service stands."""
    item = current.items.get((items.SERVICE, name))
    return item is not None and item.body is not None


def _order(record: registry.Upstream) -> tuple[int, int]:
    return record.started_ms, record.sequence
