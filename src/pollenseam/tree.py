"""The settings tree: nodes by path, versions and the latest changes."""

import collections

import msgspec

from pollenseam import settings

MAX_DELTAS = 4096


class Write(msgspec.Struct, array_like=True):
    """One node written at one index; None removes it."""

    path: str
    node: settings.AnyNode | None


class Delta(msgspec.Struct, array_like=True):
    """All writes of one index."""

    index: int
    writes: list[Write]


class Tree:
    """Nodes by path, as of one index of the quorum log.

    Attributes:
        index: Last applied index.
        changed_index: Index of the last change of any node.
        nodes: Nodes by path.
        versions: Index of the last change at or below each path, removed
            paths included.
        deltas: Latest writes, oldest first, bounded.
        floor: Index after which the deltas are complete.
    """

    __slots__ = (
        "index",
        "changed_index",
        "nodes",
        "versions",
        "deltas",
        "compacted_index",
    )

    def __init__(self) -> None:
        self.index = 0
        self.changed_index = 0
        self.nodes: settings.Nodes = {}
        self.versions: dict[str, int] = {}
        self.deltas: collections.deque[Delta] = collections.deque()
        self.compacted_index = 0

    def version(self, path: str) -> int:
        """Returns the index of the last change at or below `path`."""
        return self.versions.get(path, 0)

    def fleet(self) -> settings.Fleet:
        """Returns the fleet's settings, or the defaults."""
        node = self.nodes.get("/fleet")
        return node if isinstance(node, settings.Fleet) else settings.Fleet()

    def write(self, writes: list[Write]) -> None:
        """Writes nodes at the current index."""
        if not writes:
            return
        for one in writes:
            if one.node is None:
                self.nodes.pop(one.path, None)
            else:
                self.nodes[one.path] = one.node
            self._update_versions(one.path)
        self.changed_index = self.index
        self.deltas.append(Delta(self.index, writes))
        while len(self.deltas) > MAX_DELTAS:
            self.compacted_index = self.deltas.popleft().index

    def _update_versions(self, path: str) -> None:
        while path:
            self.versions[path] = self.index
            path = path.rpartition("/")[0]
        self.versions["/"] = self.index

    def deltas_since(self, index: int) -> list[Delta] | None:
        """Returns the deltas after `index`, or None when too old."""
        if index < self.compacted_index:
            return None
        newer: list[Delta] = []
        for delta in reversed(self.deltas):
            if delta.index <= index:
                break
            newer.append(delta)
        newer.reverse()
        return newer

    def replace_with(self, other: "Tree") -> bool:
        """Takes over a later tree whole; False when it is not later."""
        if other.index < self.index:
            return False
        self.index = other.index
        self.changed_index = other.changed_index
        self.nodes = other.nodes
        self.versions = other.versions
        self.deltas = other.deltas
        self.compacted_index = other.compacted_index
        return True

    def apply_deltas(self, deltas: list[Delta], index: int) -> bool:
        """Takes in another tree's deltas up to `index`; never goes back.

        Returns:
            Whether any node changed.
        """
        if index < self.index:
            return False
        changed = False
        for delta in deltas:
            if delta.index > self.index:
                self.index = delta.index
                self.write(delta.writes)
                changed = True
        self.index = index
        return changed


def from_nodes(
    nodes: settings.Nodes,
    index: int,
    changed_index: int,
    versions: dict[str, int] | None = None,
) -> Tree:
    """Returns a tree that begins at `index` with no deltas before it.

    Args:
        nodes: Nodes by path.
        index: Index that the tree is at.
        changed_index: Index of its last change.
        versions: Index of the last change by path, if known.
    """
    tree = Tree()
    tree.index = index
    tree.changed_index = changed_index
    tree.compacted_index = index
    tree.nodes = nodes
    tree.versions = versions if versions is not None else {}
    return tree
