"""Submits commands and reads to the leader, from any VM."""

import asyncio
import contextlib

import msgspec

from pollenseam import commands
from pollenseam import errors
from pollenseam import lifecycles
from pollenseam import messages
from pollenseam import peers
from pollenseam import replicarunner
from pollenseam import vm

CALL_TIMEOUT_SECONDS = 2.0
RETRY_SECONDS = 0.05
# How many times a command may be forwarded from replica to replica.
MAX_HOPS = 2

_decode_outcome = msgspec.msgpack.Decoder(commands.Outcome).decode


class Submitter:
    """Finds the leader and sends commands and reads to it.

    Every command is idempotent (by change id or attempt), so that it may be
    submitted again if the response was lost.

    Attributes:
        vm: This VM.
        leader: Last known address of the leader, or "".
    """

    def __init__(self, local_vm: vm.Vm) -> None:
        self.vm = local_vm
        self.leader = ""

    async def submit(
        self, command: commands.Command, deadline: float
    ) -> commands.Outcome:
        """Submits a command, with retries, and returns its outcome.

        Raises:
            UnreachableError: The outcome is not known by `deadline`.
        """
        data = commands.encode(command)
        attempt = 0
        while self.vm.now() < deadline:
            outcome = await self._submit_once(command, data, attempt, deadline)
            if outcome is not None:
                return outcome
            attempt += 1
            await asyncio.sleep(RETRY_SECONDS)
        raise errors.UnreachableError("no control replica decided in time")

    async def _submit_once(
        self,
        command: commands.Command,
        data: bytes,
        attempt: int,
        deadline: float,
    ) -> commands.Outcome | None:
        runner = self.vm.replica_runner
        if runner is not None and runner.is_leader:
            with contextlib.suppress(errors.NotLeaderError, TimeoutError):
                async with asyncio.timeout_at(vm.loop_deadline(deadline)):
                    return await runner.submit(command)
            return None
        request = messages.Submit(data, MAX_HOPS, 0)
        response = await self._call(peers.SUBMIT, request, attempt, deadline)
        if response is None or response.kind:
            return None
        return _decode_outcome(response.outcome)

    async def _call(
        self,
        method: peers.Method,
        request: msgspec.Struct,
        attempt: int,
        deadline: float,
    ) -> messages.SubmitResponse | None:
        address = self.leader_address(attempt)
        if not address:
            return None
        left = min(CALL_TIMEOUT_SECONDS, deadline - self.vm.now())
        try:
            response: messages.SubmitResponse = await self.vm.peers.call(
                address, method, request, max(left, 0.01)
            )
        except errors.UnreachableError:
            self.leader = ""
            return None
        if response.kind == errors.Kind.NO_QUORUM:
            # A replica that does not lead returns the leader's address as the
            # detail.
            self.leader = response.detail
        return response

    def leader_address(self, attempt: int) -> str:
        """Returns the likely address of the leader, or "" if unknown.

        Args:
            attempt: Number of failed attempts so far. If the leader is
                unknown, each attempt chooses another replica.
        """
        runner = self.vm.replica_runner
        if (
            runner is not None
            and not runner.failure_reason
            and runner.leader_address
        ):
            return runner.leader_address
        if self.leader:
            return self.leader
        addresses = self.replica_addresses()
        return addresses[attempt % len(addresses)] if addresses else ""

    def replica_addresses(self) -> list[str]:
        """Returns the addresses of all other known replicas.

        If none is known, the addresses of the seeds are returned.
        """
        local_vm = self.vm
        records = local_vm.directory.live(local_vm.now())[1:]
        replicas = [
            record.peer_address
            for record in records
            if record.replica_id and record.state != lifecycles.VmState.STARTING
        ]
        return replicas or list(local_vm.flags.seeds)

    async def read_barrier(self, deadline: float) -> None:
        """Waits until this VM's settings include all accepted changes.

        Raises:
            UnreachableError: No leader answered by `deadline`, or the settings
                do not include all changes by then.
        """
        response = await self.read(deadline)
        await self._wait_for_index(response.index, deadline)

    async def read(self, deadline: float) -> messages.ReadIndexResponse:
        """Returns the leader's current settings index and its replicas.

        Raises:
            UnreachableError: No leader answered by `deadline`.
        """
        attempt = 0
        while self.vm.now() < deadline:
            response = await self._read_once(attempt, deadline)
            if response.index >= 0:
                return response
            attempt += 1
            await asyncio.sleep(RETRY_SECONDS)
        raise errors.UnreachableError("no leader confirmed in time")

    async def _read_once(
        self, attempt: int, deadline: float
    ) -> messages.ReadIndexResponse:
        runner = self.vm.replica_runner
        if runner is not None and runner.is_leader:
            return await self._read_locally(deadline)
        address = self.leader_address(attempt)
        if not address:
            return messages.ReadIndexResponse(-1, 0)
        left = min(CALL_TIMEOUT_SECONDS, deadline - self.vm.now())
        try:
            response: messages.ReadIndexResponse = await self.vm.peers.call(
                address, peers.READ, messages.ReadIndex(0), max(left, 0.01)
            )
        except errors.UnreachableError:
            response = messages.ReadIndexResponse(-1, 0)
        if response.index < 0:
            self.leader = ""
        return response

    async def _read_locally(
        self, deadline: float
    ) -> messages.ReadIndexResponse:
        runner = self.vm.replica_runner
        if runner is None or runner.failure_reason:
            return messages.ReadIndexResponse(-1, 0)
        try:
            await runner.read_barrier(deadline)
        except errors.NotLeaderError:
            return messages.ReadIndexResponse(-1, 0)
        index = runner.state.tree.changed_index
        return messages.ReadIndexResponse(index, 0, runner.replicas())

    async def _wait_for_index(self, index: int, deadline: float) -> None:
        while self.vm.tree.index < index:
            if self.vm.now() >= deadline:
                raise errors.UnreachableError("settings are behind")
            await asyncio.sleep(0.01)

    async def change_replica(
        self, change: messages.ReplicaChange, deadline: float
    ) -> messages.SubmitResponse:
        """Sends a change of the replicas to the leader; returns its response.

        Raises:
            RefusedError: No leader answered by `deadline`.
        """
        attempt = 0
        while self.vm.now() < deadline:
            response = await self._call(
                peers.CHANGE_REPLICA, change, attempt, deadline
            )
            if response is not None and response.kind != errors.Kind.NO_QUORUM:
                return response
            attempt += 1
            await asyncio.sleep(RETRY_SECONDS)
        raise errors.refuse(
            errors.Kind.NO_QUORUM, "no leader answered", executed="unknown"
        )

    # Calls of other VMs.

    async def answer_submit(
        self, request: messages.Submit
    ) -> messages.SubmitResponse:
        """Submits a command on the leader, or forwards it to the leader.

        Raises:
            UnreachableError: The leader did not answer in time.
        """
        runner = self.vm.replica_runner
        if runner is None or runner.failure_reason:
            return not_leader("")
        if runner.is_leader:
            return await self._submit_locally(runner, request)
        address = runner.leader_address
        if not address or request.hops <= 0:
            return not_leader(address)
        forwarded = messages.Submit(request.command, request.hops - 1, 0)
        response: messages.SubmitResponse = await self.vm.peers.call(
            address, peers.SUBMIT, forwarded, CALL_TIMEOUT_SECONDS
        )
        return response

    async def _submit_locally(
        self, runner: replicarunner.ReplicaRunner, request: messages.Submit
    ) -> messages.SubmitResponse:
        try:
            command = commands.decode_proposal(request.command)
        except errors.RefusedError as error:
            refusal = error.refusal
            return messages.SubmitResponse(b"", refusal.kind, refusal.detail, 0)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                outcome = await runner.submit(command)
        except (errors.NotLeaderError, TimeoutError):
            return not_leader("")
        return messages.SubmitResponse(messages.encode(outcome), "", "", 0)

    async def answer_read(
        self, request: messages.ReadIndex
    ) -> messages.ReadIndexResponse:
        """Returns the settings index for another VM's read barrier.

        The index is -1 if this replica cannot confirm that it leads.
        """
        return await self._read_locally(self.vm.now() + CALL_TIMEOUT_SECONDS)


def not_leader(address: str) -> messages.SubmitResponse:
    """Returns the response of a replica that does not lead.

    Args:
        address: Address of the leader, or "" if unknown.
    """
    return messages.SubmitResponse(b"", errors.Kind.NO_QUORUM, address, 0)
