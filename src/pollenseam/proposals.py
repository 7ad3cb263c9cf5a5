"""Proposals to the quorum log, and which of them the leader appends."""

import asyncio
import functools
from collections.abc import Callable

from pollenseam import commands
from pollenseam import errors
from pollenseam import evacuations
from pollenseam import messages
from pollenseam import registry
from pollenseam import succession


class Proposal:
    """A command or configuration whose outcome is awaited.

    Attributes:
        command: Command, or None for a configuration.
        members: New configuration, or None for a command.
        term: Term in which its entry was appended; 0 before that.
        future: Receives the outcome, or NotLeaderError. It is done before that
            if the caller does not wait any more.
        is_guarded: Whether the command has to pass the gate.
    """

    __slots__ = ("command", "members", "term", "future", "is_guarded")

    def __init__(
        self,
        command: commands.Command | None,
        members: messages.Members | None,
        future: "asyncio.Future[commands.Outcome]",
        is_guarded: bool = False,
    ) -> None:
        self.command = command
        self.members = members
        self.term = 0
        self.future = future
        self.is_guarded = is_guarded


class Gate:
    """Decides on the leader which commands from outside are appended.

    Whatever is in the log is applied by replicas of all builds in the same
    way, so what must not have an effect must not be appended.

    Attributes:
        find_registry: Returns the registry that the replica has applied.
        is_announcing: Returns whether an upstream has announced itself lately,
            by its id.
        on_unknown_service: Called with each announcement that is refused as
            its service is not known.
        orders: Orders on evacuations in the leader's term.
    """

    __slots__ = (
        "find_registry",
        "is_announcing",
        "on_unknown_service",
        "orders",
    )

    def __init__(self, find_registry: Callable[[], registry.Registry]) -> None:
        self.find_registry = find_registry
        self.is_announcing: Callable[[str], bool] = _is_announcing
        self.on_unknown_service: Callable[[registry.Upstream], None] = _ignore
        self.orders = evacuations.Orders()


def _is_announcing(id: str) -> bool:
    """Default of `Gate.is_announcing`: without a tracker, all count."""
    return True


def _ignore(record: registry.Upstream) -> None:
    """Default of `Gate.on_unknown_service`; does nothing."""


@functools.singledispatch
def why_refused(
    command: object, gate: Gate, term_start: int
) -> errors.Refusal | None:
    """Returns why a command is not appended, or None if it is.

    Args:
        command: The command.
        gate: The gate of the replica that leads.
        term_start: Index of the first entry of its term.
    """
    return None


@why_refused.register
def _(
    command: commands.RecordUpstreams, gate: Gate, term_start: int
) -> errors.Refusal | None:
    for record in command.records:
        refusal = succession.why_refused(
            record, gate.find_registry(), gate.is_announcing
        )
        if refusal is not None:
            if refusal.kind == errors.Kind.NO_ROUTE:
                gate.on_unknown_service(record)
            return refusal
    return None


@why_refused.register
def _(
    command: commands.SetEvacuation, gate: Gate, term_start: int
) -> errors.Refusal | None:
    if gate.orders.is_late(command, term_start):
        return errors.Refusal(
            errors.Kind.CONFLICT,
            f"a newer order for {command.failure_domain!r} may exist",
        )
    return None


def record_appended(
    command: commands.Command | None, index: int, gate: Gate
) -> None:
    """Records what decides on later commands.

    Args:
        command: Command that was appended; None for a configuration.
        index: Index of its entry.
        gate: The gate of the replica that leads.
    """
    if isinstance(command, commands.SetEvacuation):
        gate.orders.record(command, index)
