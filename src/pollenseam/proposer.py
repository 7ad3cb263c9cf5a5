"""Brings commands and questions of a control VM to the leader."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec

from pollenseam import commands
from pollenseam import errors
from pollenseam import messages
from pollenseam import peers
from pollenseam import replicarunner

RETRY_DELAY_SECONDS = 0.03

_decode_outcome = msgspec.msgpack.Decoder(commands.Outcome).decode


class Proposer:
    """Hands commands in here, or at the leader.

    Attributes:
        replica: Returns the replica's shell, which may be replaced.
        peers: Calls to other VMs.
        now: Returns the time in seconds.
    """

    def __init__(
        self,
        get_runner: Callable[[], replicarunner.ReplicaRunner],
        peer_client: peers.Client,
        now: replicarunner.Clock,
    ) -> None:
        self.get_runner = get_runner
        self.peers = peer_client
        self.now = now

    async def submit(
        self, command: commands.Command, deadline: float
    ) -> commands.Outcome:
        """Carries a command through the log, here or at the leader.

        The command may be handed in more than once.

        Raises:
            UnreachableError: The outcome is not known by `deadline`.
        """
        data = commands.encode(command)
        while self.now() < deadline:
            outcome = await self._try_submit(command, data, deadline)
            if outcome is not None:
                return outcome
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        raise errors.UnreachableError("no leader decided in time")

    async def _try_submit(
        self, command: commands.Command, data: bytes, deadline: float
    ) -> commands.Outcome | None:
        own = self.get_runner()
        left = max(0.01, deadline - self.now())
        if own.is_leader:
            with contextlib.suppress(errors.NotLeaderError, TimeoutError):
                async with asyncio.timeout(left):
                    return await own.submit(command)
            return None
        if not own.leader_address:
            return None
        request = messages.Submit(data, 0, 0)
        with contextlib.suppress(errors.UnreachableError):
            answer: messages.SubmitResponse = await self.peers.call(
                own.leader_address, peers.SUBMIT, request, left
            )
            if not answer.kind:
                return _decode_outcome(answer.outcome)
        return None

    async def read_barrier(self, deadline: float) -> None:
        """Waits until this replica has all changes acknowledged before.

        Raises:
            UnreachableError: No leader confirmed by `deadline`.
        """
        index = -1
        while index < 0 and self.now() < deadline:
            index = await self._confirmed_index(deadline)
            if index < 0:
                await asyncio.sleep(RETRY_DELAY_SECONDS)
        while index < 0 or self.get_runner().state.index < index:
            if self.now() >= deadline:
                raise errors.UnreachableError("no leader confirmed in time")
            await asyncio.sleep(0.01)

    async def _confirmed_index(self, deadline: float) -> int:
        own = self.get_runner()
        if own.is_leader:
            with contextlib.suppress(errors.NotLeaderError):
                await own.read_barrier(deadline)
                return own.state.index
            return -1
        if not own.leader_address:
            return -1
        left = max(0.01, deadline - self.now())
        with contextlib.suppress(errors.UnreachableError):
            answer: messages.ReadIndexResponse = await self.peers.call(
                own.leader_address, peers.READ, messages.ReadIndex(0), left
            )
            return answer.index
        return -1
