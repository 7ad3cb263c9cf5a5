"""The settings tree: nodes by path, their versions and the latest deltas."""

import collections

import msgspec

from pollenseam import settings

MAX_DELTAS = 4096


class Write(msgspec.Struct, array_like=True):
    """The new value of the node at a path; None removes the node."""

    path: str
    node: settings.AnyNode | None


class Delta(msgspec.Struct, array_like=True):
    """All writes of one entry of the quorum log."""

    index: int
    writes: list[Write]


class Tree:
    """Nodes by path, as of one index of the quorum log.

    Attributes:
        index: Index of the last applied log entry.
        changed_index: Index of the last change of any node.
        nodes: Nodes by path.
        versions: Index of the last change at or below each path, removed
            paths included.
        deltas: The latest MAX_DELTAS deltas, oldest first.
        compacted_index: Index up to which deltas have been discarded.
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
        """Returns the settings of the fleet; defaults if there are none."""
        node = self.nodes.get("/fleet")
        return node if isinstance(node, settings.Fleet) else settings.Fleet()

    def write(self, writes: list[Write]) -> None:
        """Writes nodes and records them as the delta of the current index."""
        if not writes:
            return
        for write in writes:
            if write.node is None:
                self.nodes.pop(write.path, None)
            else:
                self.nodes[write.path] = write.node
            self._update_versions(write.path)
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

    def replace_with(self, other: "Tree") -> bool:
        """Replaces the content with another tree's, unless that is older.

        Returns:
            Whether the content was replaced.
        """
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
        """Applies the deltas of another tree up to `index`.

        Does nothing if the tree is at a later index already.

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
    """Returns a tree at `index` that has no deltas yet.

    Args:
        nodes: Nodes by path.
        index: Index of the tree.
        changed_index: Index of the last change of any node.
        versions: Index of the last change by path, if known.
    """
    tree = Tree()
    tree.index = index
    tree.changed_index = changed_index
    tree.compacted_index = index
    tree.nodes = nodes
    tree.versions = versions if versions is not None else {}
    return tree
