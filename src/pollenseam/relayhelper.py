"""Sends calls of other entry VMs to upstreams, within bounds."""

import contextlib
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Protocol

from pollenseam import calls
from pollenseam import errors
from pollenseam import events
from pollenseam import links
from pollenseam import peers
from pollenseam import peerserver
from pollenseam import relaymessages
from pollenseam import steering

# What this VM lends to others. A link of 2 Mbit/s carries some 70 calls of a
# few kilobytes in a second, both ways.
MAX_LENT_CALLS = 48
MAX_LENT_BYTES = 4 * 1024 * 1024
# Larger replies do not fit into a message between VMs.
MAX_REPLY_BYTES = 12 * 1024 * 1024


class Deliverer(Protocol):
    """Sends calls to upstreams."""

    async def deliver(
        self, active_call: calls.ActiveCall
    ) -> calls.Reply | None:
        """Sends a call until one upstream has received it.

        Returns:
            The reply, or None if the upstream gave no valid one.

        Raises:
            RefusedError: No upstream has received the call, or none replied in
                time.
        """


class RelayHelper:
    """Sends calls of other entry VMs to upstreams.

    A call is sent to one upstream at most; the other VM decides what follows.

    Attributes:
        dispatcher: Sends calls to upstreams.
        pools: Upstreams by service name.
        now: Returns the time since boot in seconds.
        lends_until: Returns the time by which lent calls must end; 0 if this
            VM lends nothing now.
        server: Server for calls from other entry VMs.
        log: Event log.
        port: Port of the server while it runs, or 0.
        lent_calls: Calls of other VMs in progress.
        lent_bytes: Bytes of their bodies.
        link: Network link of this VM.
    """

    def __init__(
        self,
        call_dispatcher: Deliverer,
        pools: Mapping[str, steering.Pool],
        now: Callable[[], float],
        lends_until: Callable[[], float],
        server: peerserver.Server,
        log: events.EventLog,
    ) -> None:
        self.dispatcher = call_dispatcher
        self.pools = pools
        self.now = now
        self.lends_until = lends_until
        self.server = server
        self.log = log
        self.port = 0
        self.lent_calls = 0
        self.lent_bytes = 0
        self.link = links.Link()

    async def start(self, host: str, port: int) -> None:
        """Starts to help, if that is possible.

        Args:
            host: Address for calls of other entry VMs.
            port: Port for these calls; 0 for none.
        """
        if not port:
            return
        self.server.handle(relaymessages.RELAY, self.handle)
        self.server.handle(relaymessages.CHECK, self.handle_check)
        try:
            await self.server.start(f"{host}:{port}")
        except errors.FlagError as error:
            self.log.emit("helping-unavailable", why=str(error))
            return
        self.port = port

    async def stop(self, grace: float) -> None:
        """Stops helping; calls in progress have `grace` seconds to finish."""
        if self.port:
            await self.server.stop(grace)

    async def handle(
        self, message: relaymessages.RelayedCall
    ) -> relaymessages.RelayResponse:
        """Answers a call of another entry VM."""
        pool = self.pools.get(message.service)
        if pool is None or not self._can_lend(message):
            return relaymessages.RelayResponse(relaymessages.NO_CAPACITY)
        active_call = relaymessages.to_active_call(message, pool, self.now())
        with self._lend(len(message.body)):
            return await self._deliver(active_call)

    async def handle_check(self, message: peers.Empty) -> peers.Empty:
        """Gives another entry VM a sign of life."""
        return peers.Empty()

    def _can_lend(self, message: relaymessages.RelayedCall) -> bool:
        deadline = self.now() + message.left_ms / 1000
        return (
            deadline <= self.lends_until()
            and self.lent_calls < MAX_LENT_CALLS
            and self.lent_bytes + len(message.body) <= MAX_LENT_BYTES
        )

    @contextlib.contextmanager
    def _lend(self, body_bytes: int) -> Iterator[None]:
        self.lent_calls += 1
        self.lent_bytes += body_bytes
        try:
            yield
        finally:
            self.lent_calls -= 1
            self.lent_bytes -= body_bytes

    async def _deliver(
        self, active_call: calls.ActiveCall
    ) -> relaymessages.RelayResponse:
        try:
            reply = await self.dispatcher.deliver(active_call)
        except errors.RefusedError as error:
            return _refused(active_call, error.refusal)
        if reply is None:
            refusal = active_call.refusal or errors.Refusal(
                errors.Kind.UPSTREAM_FAILED, "the upstream gave no valid reply"
            )
            return _refused(active_call, refusal)
        if len(reply.body) > MAX_REPLY_BYTES:
            refusal = errors.Refusal(
                errors.Kind.UPSTREAM_FAILED,
                f"the reply has {len(reply.body)} bytes, too many to relay",
            )
            return _refused(active_call, refusal)
        self.link.send(len(reply.body), self.now())
        return relaymessages.RelayResponse(
            relaymessages.REPLIED,
            relaymessages.from_reply(reply),
            None,
            "".join(active_call.received_by),
            active_call.executions,
        )


def _refused(
    active_call: calls.ActiveCall, refusal: errors.Refusal
) -> relaymessages.RelayResponse:
    """Returns the response for a call without a reply."""
    executions = active_call.executions or int(refusal.executed != "no")
    if not executions and not active_call.received_by:
        is_unreached = (
            active_call.needs_helper
            or active_call.connect_failures >= calls.MAX_CONNECT_FAILURES
        )
        if is_unreached or not active_call.pool.upstreams:
            return relaymessages.RelayResponse(relaymessages.NOT_REACHED)
    return relaymessages.RelayResponse(
        relaymessages.REFUSED,
        None,
        relaymessages.from_refusal(refusal),
        "".join(active_call.received_by),
        executions,
        active_call.is_risky,
    )
