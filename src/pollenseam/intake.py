"""Bounds on what a process holds for its callers, and their connections."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING

from pollenseam import budgets
from pollenseam import errors
from pollenseam import events
from pollenseam import metrics

if TYPE_CHECKING:
    from pollenseam import connections

# Bytes that the kernel may hold for a caller's connection in each direction.
KERNEL_BUFFER_BYTES = 256 * 1024
# Seconds after which a refused caller may come back.
RETRY_SECONDS = 1.0
# Part of the limit that is closed at once, as each look for idle ones costs.
SHED_SHARE = 1 / 32
# What a machine has if its limits are not stated.
DEFAULT_MEMORY_BYTES = 300_000_000
DEFAULT_DESCRIPTORS = 4100
# Descriptors that are kept for files.
FILE_DESCRIPTORS = 200
# Parts of the machine's memory and of the other descriptors for callers; the
# rest is for the process itself, upstreams and other VMs.
HELD_SHARE = 0.46
CONNECTION_SHARE = 0.6


class Intake:
    """Counts what callers' connections hold, and ends some for room.

    Replies that upstreams send are counted as well.

    Attributes:
        budget: Bytes held, by connection.
        max_connections: Most connections of callers.
        kernel_buffer_bytes: What the kernel may hold for a connection in each
            direction; of new listeners.
        log: Event log, or None.
        ended: Connections ended, by reason.
    """

    __slots__ = (
        "budget",
        "max_connections",
        "kernel_buffer_bytes",
        "log",
        "ended",
        "_connections",
    )

    def __init__(
        self,
        max_bytes: int,
        max_connections: int,
        log: events.EventLog | None = None,
    ) -> None:
        self.budget = budgets.Budget(max_bytes)
        self.max_connections = max_connections
        self.kernel_buffer_bytes = KERNEL_BUFFER_BYTES
        self.log = log
        self.ended = metrics.Counter("callers_ended_total", "reason")
        self._connections: dict[budgets.Holder, connections.Connection] = {}

    def adopt_limits(self, other: Intake) -> None:
        """Takes over the limits of another intake."""
        self.budget.max_bytes = other.budget.max_bytes
        self.max_connections = other.max_connections

    # Bytes.

    def measure(self, connection: connections.Connection) -> None:
        """Counts the bytes held for a connection; makes room if needed."""
        now = _time()
        if connection.transport is None:
            self.release(connection)
            return
        holder = connection.holder
        held_bytes = connection.held_bytes()
        if holder is None:
            if not held_bytes:
                return
            holder = budgets.Holder(connection.caller_ip, now)
            connection.holder = holder
            self._connections[holder] = connection
        holder.enter(connection.phase, now)
        self.budget.update(holder, held_bytes)
        if not held_bytes:
            self._forget(holder)
        self._make_room(now)

    def release(self, connection: connections.Connection) -> None:
        """Ends the account of a connection that is closed."""
        if connection.holder is not None:
            self.budget.update(connection.holder, 0)
            self._forget(connection.holder)

    def _forget(self, holder: budgets.Holder) -> None:
        self._connections.pop(holder).holder = None

    def add_reply(self, size: int) -> None:
        """Counts received bytes of a reply; negative if they are given on."""
        self.budget.add_reply(size)
        if size > 0:
            self._make_room(_time())

    def has_room(self) -> bool:
        """Returns whether the bytes held are within the budget."""
        return self.budget.excess_bytes <= 0

    def _make_room(self, now: float) -> None:
        if self.budget.excess_bytes <= 0:
            return
        for holder, connection in self._connections.items():
            holder.enter(connection.phase, now)
        for holder in self.budget.make_room(now):
            reason = "stalled" if holder.is_stalled(now) else "no-room"
            self._end(self._connections[holder], reason, holder.held_bytes)

    def _end(
        self, connection: connections.Connection, reason: str, held_bytes: int
    ) -> None:
        self.ended.add(reason)
        is_refused = connection.refuse(
            errors.refuse(
                errors.Kind.NO_ROOM,
                "this VM has no room for the request's body",
                "no",
                RETRY_SECONDS,
            )
        )
        if self.log is not None:
            self.log.emit_often(
                "caller-ended",
                reason=reason,
                caller=connection.caller_ip,
                held_bytes=held_bytes,
                total_bytes=self.budget.total_bytes,
                refused=is_refused,
            )
        if not is_refused:
            connection.abort()

    # Connections.

    def shed(self, connections: Iterable[connections.Connection]) -> None:
        """Closes idle and half-sent connections, the oldest first."""
        idle = [c for c in connections if c.is_sheddable]
        idle.sort(key=lambda c: c.idle_since)
        count = max(1, int(self.max_connections * SHED_SHARE))
        for connection in idle[:count]:
            self._end(connection, "descriptors", 0)

    def expose(self) -> str:
        """Returns the metrics in the text exposition format."""
        budget = self.budget
        gauges: dict[str, float] = {
            "held_bytes": budget.total_bytes,
            "held_reply_bytes": budget.reply_bytes,
            "held_bytes_limit": budget.max_bytes,
            "holders": len(budget.holders),
        }
        return metrics.format_exposition(gauges, [self.ended])


def create(
    memory_bytes: float,
    descriptors: float,
    log: events.EventLog,
    held_share: float = HELD_SHARE,
    connection_share: float = CONNECTION_SHARE,
) -> Intake:
    """Returns an intake for a process.

    Args:
        memory_bytes: Memory of the process; 0 if not stated.
        descriptors: Descriptors of the process; 0 if not stated.
        log: Event log.
        held_share: Part of the memory for what is held for callers.
        connection_share: Part of the descriptors, without those for files,
            for connections of callers.
    """
    memory_bytes = memory_bytes or DEFAULT_MEMORY_BYTES
    sockets = max(2.0, (descriptors or DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS)
    return Intake(
        int(memory_bytes * held_share), int(sockets * connection_share), log
    )


def _time() -> float:
    return asyncio.get_running_loop().time()
