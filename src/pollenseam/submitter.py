"""Brings commands to the leader, from any VM."""

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
MAX_HOPS = 2

_decode_outcome = msgspec.msgpack.Decoder(commands.Outcome).decode


class Submitter:
    """Finds the leader and hands commands and questions to it.

    Every command is idempotent (by change id or attempt), so that it may be
    handed in again after a lost answer.

    Attributes:
        vm: The VM's view.
        leader: Address of the leader when last heard of, or "".
    """

    def __init__(self, local_vm: vm.Vm) -> None:
        self.vm = local_vm
        self.leader = ""

    async def submit(
        self, command: commands.Command, deadline: float
    ) -> commands.Outcome:
        """Returns the outcome of a command.

        Raises:
            UnreachableError: It is not known by `deadline`.
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
        own = self.vm.control
        if own is not None and own.is_leader:
            with contextlib.suppress(errors.NotLeaderError, TimeoutError):
                async with asyncio.timeout_at(vm.loop_deadline(deadline)):
                    return await own.submit(command)
            return None
        request = messages.Submit(data, MAX_HOPS, 0)
        answer = await self._call(peers.SUBMIT, request, attempt, deadline)
        if answer is None or answer.kind:
            return None
        return _decode_outcome(answer.outcome)

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
            answer: messages.SubmitResponse = await self.vm.peers.call(
                address, method, request, max(left, 0.01)
            )
        except errors.UnreachableError:
            self.leader = ""
            return None
        if answer.kind == errors.Kind.NO_QUORUM:
            # The detail of a replica that does not lead names who does.
            self.leader = answer.detail
        return answer

    def leader_address(self, attempt: int) -> str:
        """Returns where the leader most likely is, or "" when unknown.

        Args:
            attempt: Failures so far; each turns to another replica.
        """
        own = self.vm.control
        if own is not None and not own.failure_reason and own.leader_address:
            return own.leader_address
        if self.leader:
            return self.leader
        found = self.replica_addresses()
        return found[attempt % len(found)] if found else ""

    def replica_addresses(self) -> list[str]:
        """Returns the addresses of all other replicas that are known."""
        own = self.vm
        records = own.directory.live(own.now())[1:]
        replicas = [
            record.peer_address
            for record in records
            if record.replica_id and record.state != lifecycles.VmState.STARTING
        ]
        return replicas or list(own.flags.seeds)

    async def read_barrier(self, deadline: float) -> None:
        """Waits until this VM's settings include all accepted changes.

        Raises:
            UnreachableError: That is not known by `deadline`.
        """
        found = await self.read(deadline)
        await self._wait_for_index(found.index, deadline)

    async def read(self, deadline: float) -> messages.ReadIndexResponse:
        """Returns what the leader says of now: its index and the replicas.

        Raises:
            UnreachableError: No leader answered by `deadline`.
        """
        attempt = 0
        while self.vm.now() < deadline:
            found = await self._read_once(attempt, deadline)
            if found.index >= 0:
                return found
            attempt += 1
            await asyncio.sleep(RETRY_SECONDS)
        raise errors.UnreachableError("no leader confirmed in time")

    async def _read_once(
        self, attempt: int, deadline: float
    ) -> messages.ReadIndexResponse:
        own = self.vm.control
        if own is not None and own.is_leader:
            return await self._read_locally(deadline)
        address = self.leader_address(attempt)
        if not address:
            return messages.ReadIndexResponse(-1, 0)
        left = min(CALL_TIMEOUT_SECONDS, deadline - self.vm.now())
        try:
            answer: messages.ReadIndexResponse = await self.vm.peers.call(
                address, peers.READ, messages.ReadIndex(0), max(left, 0.01)
            )
        except errors.UnreachableError:
            answer = messages.ReadIndexResponse(-1, 0)
        if answer.index < 0:
            self.leader = ""
        return answer

    async def _read_locally(
        self, deadline: float
    ) -> messages.ReadIndexResponse:
        own = self.vm.control
        if own is None or own.failure_reason:
            return messages.ReadIndexResponse(-1, 0)
        try:
            await own.read_barrier(deadline)
        except errors.NotLeaderError:
            return messages.ReadIndexResponse(-1, 0)
        index = own.state.tree.changed_index
        return messages.ReadIndexResponse(index, 0, own.replicas())

    async def _wait_for_index(self, index: int, deadline: float) -> None:
        while self.vm.tree.index < index:
            if self.vm.now() >= deadline:
                raise errors.UnreachableError("settings are behind")
            await asyncio.sleep(0.01)

    async def change_replica(
        self, change: messages.ReplicaChange, deadline: float
    ) -> messages.SubmitResponse:
        """Returns the leader's answer to a change of the replicas.

        Raises:
            RefusedError: No leader answered by `deadline`.
        """
        attempt = 0
        while self.vm.now() < deadline:
            answer = await self._call(
                peers.CHANGE_REPLICA, change, attempt, deadline
            )
            if answer is not None and answer.kind != errors.Kind.NO_QUORUM:
                return answer
            attempt += 1
            await asyncio.sleep(RETRY_SECONDS)
        raise errors.refuse(
            errors.Kind.NO_QUORUM, "no leader answered", executed="unknown"
        )

    # Answers to other VMs.

    async def answer_submit(
        self, request: messages.Submit
    ) -> messages.SubmitResponse:
        """Carries a command out, or passes it on to the leader."""
        own = self.vm.control
        if own is None or own.failure_reason:
            return not_leader("")
        if own.is_leader:
            return await self._submit_locally(own, request)
        address = own.leader_address
        if not address or request.hops <= 0:
            return not_leader(address)
        onward = messages.Submit(request.command, request.hops - 1, 0)
        answer: messages.SubmitResponse = await self.vm.peers.call(
            address, peers.SUBMIT, onward, CALL_TIMEOUT_SECONDS
        )
        return answer

    async def _submit_locally(
        self, runner: replicarunner.ReplicaRunner, request: messages.Submit
    ) -> messages.SubmitResponse:
        try:
            command = commands.decode(request.command)
        except msgspec.DecodeError as error:
            kind = errors.Kind.MALFORMED
            return messages.SubmitResponse(b"", kind, str(error), 0)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                outcome = await runner.submit(command)
        except (errors.NotLeaderError, TimeoutError):
            return not_leader("")
        return messages.SubmitResponse(messages.encode(outcome), "", "", 0)

    async def answer_read(
        self, request: messages.ReadIndex
    ) -> messages.ReadIndexResponse:
        """Answers another VM's read barrier."""
        return await self._read_locally(self.vm.now() + CALL_TIMEOUT_SECONDS)


def not_leader(address: str) -> messages.SubmitResponse:
    """Returns the answer of a replica that does not lead."""
    return messages.SubmitResponse(b"", errors.Kind.NO_QUORUM, address, 0)
