"""Transfer of the registry from control VMs to entry VMs, page by page.

A transfer continues at the position where it stopped, from any control VM: a
call that fails costs one page. The copy changes only when the last page of a
transfer has arrived, so callers never see a part of a change.

A log may have unusable upstreams that an earlier version accepted. All replicas
keep them, so that they agree; receivers leave them out.
"""

from pollenseam import registry
from pollenseam import validity


class Update:
    """What a complete transfer changed.

    Attributes:
        is_whole: Whether the whole registry was transferred.
        pages: Number of pages.
        records: Number of records.
        has_items: Whether items are among the records.
        unusable: Why upstreams that were left out cannot be used, by id.
    """

    __slots__ = ("is_whole", "pages", "records", "has_items", "unusable")

    def __init__(
        self,
        is_whole: bool,
        pages: int,
        records: int,
        has_items: bool,
        unusable: dict[str, str],
    ) -> None:
        self.is_whole = is_whole
        self.pages = pages
        self.records = records
        self.has_items = has_items
        self.unusable = unusable


class Receiver:
    """A copy of the registry, and the pages of the transfer in progress.

    Attributes:
        registry: The copy, as of the last complete transfer.
        base_index: Index as of which everything was known when the transfer
            in progress began.
        latest_index: Index of the latest page. Pages of a source whose state
            is older are not accepted.
        position: Position of the last record received.
        pages: Pages of the transfer in progress.
    """

    __slots__ = (
        "registry",
        "base_index",
        "latest_index",
        "position",
        "pages",
    )

    def __init__(self) -> None:
        self.registry = registry.Registry()
        self.base_index = 0
        self.latest_index = 0
        self.position = registry.Position()
        self.pages: list[registry.Page] = []

    @property
    def is_transferring(self) -> bool:
        """Whether a transfer has begun and its last page is missing."""
        return bool(self.pages)

    def receive(self, page: registry.Page, index: int) -> Update | None:
        """Adds a page; returns the update if it completes the transfer.

        Args:
            page: The page after `position`, or a first page.
            index: Index of the source's state, at least `latest_index`.
        """
        if page.is_first:
            self.pages.clear()
            self.base_index = index
        self.pages.append(page)
        self.position = page.end
        self.latest_index = index
        if not page.is_last:
            return None
        update = self._apply_pages()
        self.base_index = index
        self.pages.clear()
        return update

    def _apply_pages(self) -> Update:
        is_whole = self.pages[0].is_first
        if is_whole:
            self.registry = registry.Registry()
        count = 0
        unusable: dict[str, str] = {}
        for page in self.pages:
            for record in page.records():
                self._store(record, unusable)
                count += 1
        self.registry.index = max(self.registry.index, self.position.index)
        has_items = any(page.changed_items for page in self.pages)
        return Update(is_whole, len(self.pages), count, has_items, unusable)

    def _store(self, record: registry.Record, unusable: dict[str, str]) -> None:
        """Stores a record, or adds it to the unusable upstreams."""
        if isinstance(record, registry.Upstream):
            why = validity.why_unusable(record)
            if why:
                unusable[record.id] = why
                self.registry.discard_upstream(record.id)
                return
        self.registry.store(record)


def next_page(
    source: registry.Registry, base_index: int, after: registry.Position
) -> registry.Page:
    """Returns the next page of a transfer.

    The transfer begins anew if a record was deleted that the receiver may
    still have.

    Args:
        source: Registry of the sender.
        base_index: The receiver's `base_index`.
        after: The receiver's position.
    """
    if base_index < source.compacted_index:
        after = registry.Position()
    return source.page_after(after)
