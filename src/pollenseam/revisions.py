"""Records in the order of their last change.

Who holds a copy names the revision of the copy and gets what changed since,
without a look at the records that did not.
"""

from typing import Protocol
from typing import TypeVar


class Revised(Protocol):
    """A record that knows when it last changed.

    Attributes:
        revision: Revision of the records at the last change.
    """

    revision: int


Key = TypeVar("Key")
Record = TypeVar("Record", bound=Revised)


class Records(dict[Key, Record]):
    """Records by key, the latest change last.

    Attributes:
        revision: Number of changes.
    """

    __slots__ = ("revision",)

    def __init__(self) -> None:
        super().__init__()
        self.revision = 0

    def touch(self, key: Key, record: Record) -> None:
        """Stores a record as the latest change."""
        self.revision += 1
        record.revision = self.revision
        self.pop(key, None)
        self[key] = record

    def changed_since(self, revision: int) -> list[tuple[Key, Record]]:
        """Returns what changed after a revision, the latest change first."""
        changed: list[tuple[Key, Record]] = []
        for key, record in reversed(self.items()):
            if record.revision <= revision:
                break
            changed.append((key, record))
        return changed
