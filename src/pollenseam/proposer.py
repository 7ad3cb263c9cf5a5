"""Submits a control VM's commands and reads to the leader."""

import asyncio
import contextlib
import random
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
    """Submits commands to this VM's replica when it leads, else to the leader.

    Attributes:
        get_runner: Returns the runner of this VM's replica. The runner is
            replaced when the data folder is opened again.
        peers: Client for calls to other VMs.
        now: Returns the time in seconds.
        reported_leader: Address of the leader as another replica gave it, or
            "". Used while this VM's replica has failed.
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
        self.reported_leader = ""

    async def submit(
        self, command: commands.Command, deadline: float
    ) -> commands.Outcome:
        """Replicates a command and returns its outcome.

        The command may be submitted, and applied, more than once.

        Raises:
            UnreachableError: The outcome is not known by `deadline`; the
                command may still be applied.
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
        runner = self.get_runner()
        seconds_left = max(0.01, deadline - self.now())
        if runner.is_leader:
            with contextlib.suppress(errors.NotLeaderError, TimeoutError):
                async with asyncio.timeout(seconds_left):
                    return await runner.submit(command, is_guarded=True)
            return None
        address = self._leader_address(runner)
        if not address:
            return None
        request = messages.Submit(data, 0, 0)
        self.reported_leader = ""
        with contextlib.suppress(errors.UnreachableError):
            response: messages.SubmitResponse = await self.peers.call(
                address, peers.SUBMIT, request, seconds_left
            )
            if not response.kind:
                self.reported_leader = address
                return _decode_outcome(response.outcome)
            # A replica that does not lead returns the leader's address.
            self.reported_leader = response.detail
        return None

    def _leader_address(self, runner: replicarunner.ReplicaRunner) -> str:
        """Returns the likely address of the leader, or "" if unknown.

        A replica whose disk failed hears no more of leaders. Its VM asks
        another voter, drawn by lot.
        """
        if not runner.failure_reason:
            return runner.leader_address
        if self.reported_leader not in ("", runner.own_address):
            return self.reported_leader
        voters = runner.replica.members.voters.items()
        others = [a for id, a in voters if id != runner.replica.id]
        return random.choice(others) if others else ""

    async def read_barrier(self, deadline: float) -> None:
        """Waits until all changes acknowledged so far are applied here.

        Raises:
            UnreachableError: No leader confirmed an index by `deadline`, or
                this replica has not applied the entries up to it by then.
        """
        index = await self.confirmed_index(deadline)
        while self.get_runner().state.index < index:
            if self.now() >= deadline:
                raise errors.UnreachableError("no leader confirmed in time")
            await asyncio.sleep(0.01)

    async def confirmed_index(self, deadline: float) -> int:
        """Returns an index of the log that has all changes acknowledged so far.

        Raises:
            UnreachableError: No leader confirmed an index by `deadline`.
        """
        while self.now() < deadline:
            index = await self._try_confirm_index(deadline)
            if index >= 0:
                return index
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        raise errors.UnreachableError("no leader confirmed in time")

    async def _try_confirm_index(self, deadline: float) -> int:
        """Returns an index, or -1 if no leader confirmed one."""
        runner = self.get_runner()
        if runner.is_leader:
            with contextlib.suppress(errors.NotLeaderError):
                await runner.read_barrier(deadline)
                return runner.state.index
            return -1
        address = self._leader_address(runner)
        if not address:
            return -1
        seconds_left = max(0.01, deadline - self.now())
        with contextlib.suppress(errors.UnreachableError):
            response: messages.ReadIndexResponse = await self.peers.call(
                address,
                peers.READ,
                messages.ReadIndex(0),
                seconds_left,
            )
            return response.index
        return -1
