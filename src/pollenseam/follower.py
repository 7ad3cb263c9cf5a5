"""Keeps a VM's settings current: fetches them from replicas or relays.

The follower here is not a Raft follower: it polls another VM (the source) for
changes of the settings. In each failure domain only a few VMs, the relays,
fetch from replicas; the others fetch from the relays.
"""

import asyncio
import contextlib
import hashlib

from pollenseam import bounds
from pollenseam import errors
from pollenseam import lifecycles
from pollenseam import messages
from pollenseam import peers
from pollenseam import sourcesearch
from pollenseam import tree
from pollenseam import vm

MAX_LONG_POLL_MS = 1000
LONG_POLL_RATIO = 0.2
CALL_TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 0.1
REPLICA_POLL_SECONDS = 0.3
RELAYS_PER_DOMAIN = 2
DETACH_AFTER_FAILURES = 10
# How many VMs are asked at once whether they answer.
MAX_ASKED = 8


class Follower:
    """Fetches settings for one VM and serves them to other VMs.

    Attributes:
        vm: State of this VM.
        source: Address of the VM that settings are fetched from; empty before
            the first fetch.
        search: Finds out which VMs answer.
    """

    def __init__(self, local_vm: vm.Vm) -> None:
        self.vm = local_vm
        self.source = ""
        self.search = sourcesearch.Search(self._ask, local_vm.log, local_vm.now)
        self._failures = 0

    async def run(self) -> None:
        """Fetches settings until cancelled.

        A source without fresher settings is left out for some time. After one
        that was silent the candidates are asked which of them answer.
        """
        try:
            while True:
                await self._follow_once()
        finally:
            self.search.stop()

    async def _follow_once(self) -> None:
        if self._is_leader():
            self.vm.activate_settings()
            await asyncio.sleep(REPLICA_POLL_SECONDS)
            return
        known = self.search.sources
        candidates = self._source_candidates()
        source = known.choose(candidates, self.vm.now())
        if not source:
            await self.search.ask_all(self._next_to_ask(candidates))
            if not known.answering:
                await self._record_failure()
            return
        self.source = source
        self.search.ask_better(candidates, source)
        if await self._fetch(source):
            self._failures = 0
            return
        await self._record_failure()

    async def _record_failure(self) -> None:
        self._failures += 1
        control = self.vm.replica_runner
        is_over = self._failures >= DETACH_AFTER_FAILURES
        if control is not None and is_over:
            if control.failure_reason or not control.replica.leader:
                self.vm.detach_replica_tree()
        await asyncio.sleep(RETRY_SECONDS)

    def _is_leader(self) -> bool:
        control = self.vm.replica_runner
        return control is not None and control.is_leader

    def _is_replica(self) -> bool:
        """Returns whether the settings come from the log of this VM's replica.

        Detaches the VM from its replica if the replica has left the quorum.
        """
        local_vm = self.vm
        if local_vm.replica_runner is None or not local_vm.uses_replica_tree:
            return False
        if not local_vm.replica_runner.is_member:
            local_vm.detach_replica_tree()
        return local_vm.uses_replica_tree

    def _next_to_ask(self, candidates: list[str]) -> list[str]:
        """Returns some candidates; after each failure some others."""
        if not candidates:
            return []
        first = self._failures * MAX_ASKED % len(candidates)
        return (candidates[first:] + candidates[:first])[:MAX_ASKED]

    async def _ask(self, address: str) -> bool | None:
        """Asks a VM; returns False if its settings are older than this VM's.

        The index of the request is above all others, so that the answer has
        no settings. It does not tell how old they are either.

        Raises:
            UnreachableError: It does not answer.
        """
        local_vm = self.vm
        response = await local_vm.peers.call_in_parts(
            address,
            peers.FETCH,
            messages.Fetch(local_vm.flags.vm, bounds.MAX_INTEGER, 0, 0),
            CALL_TIMEOUT_SECONDS,
            CALL_TIMEOUT_SECONDS,
        )
        is_older = response.index < max(1, local_vm.tree.index)
        return False if is_older else None

    def _source_candidates(self) -> list[str]:
        """Returns the addresses to fetch from, in order of preference."""
        local_vm = self.vm
        addresses: list[str] = []
        if self._is_replica() and local_vm.replica_runner is not None:
            addresses.append(local_vm.replica_runner.leader_address)
        others = local_vm.directory.live(local_vm.now())[1:]
        usable = [r for r in others if r.state != lifecycles.VmState.STARTING]
        relays = self._relays(usable)
        replicas = [r for r in usable if r.replica_id]
        if local_vm.flags.vm not in relays:
            addresses += [r.peer_address for r in usable if r.name in relays]
        addresses += _addresses_by_hash(local_vm.flags.vm, replicas)
        addresses += _addresses_by_hash(local_vm.flags.vm, usable)
        addresses += local_vm.flags.seeds
        addresses += local_vm.flags.initial_replicas.values()
        excluded = ("", local_vm.flags.peer_address)
        return [a for a in dict.fromkeys(addresses) if a not in excluded]

    def _relays(self, vms: list[messages.Vm]) -> set[str]:
        """Returns the names of the relays in this VM's failure domain.

        Relays are the RELAYS_PER_DOMAIN VMs with the lowest hash of their
        name. They fetch from replicas.
        """
        own_record = self.vm.directory.own_record
        near = [r for r in vms if r.failure_domain == own_record.failure_domain]
        names = sorted(r.name for r in [own_record, *near])
        if len(names) <= RELAYS_PER_DOMAIN:
            return set(names)
        return set(sorted(names, key=_digest)[:RELAYS_PER_DOMAIN])

    async def _fetch(self, source: str) -> bool:
        local_vm = self.vm
        is_replica = self._is_replica()
        wait_ms = 0 if is_replica else self._long_poll_ms()
        request = messages.Fetch(
            local_vm.flags.vm, local_vm.tree.index, wait_ms, 0
        )
        sent_at = local_vm.now()
        as_of_before = local_vm.freshness.as_of
        try:
            response = await local_vm.peers.call_in_parts(
                source,
                peers.FETCH,
                request,
                wait_ms / 1000 + CALL_TIMEOUT_SECONDS,
                CALL_TIMEOUT_SECONDS,
            )
        except errors.UnreachableError:
            self._record_unreachable(source, sent_at)
            return False
        if is_replica:
            await self._wait_applied(response, sent_at)
            await asyncio.sleep(REPLICA_POLL_SECONDS)
        else:
            self._apply_response(response, sent_at)
        # A source that is cut off from the leader still responds, but the
        # settings it returns are no fresher. Another source is tried next.
        is_fresher = local_vm.freshness.as_of != as_of_before
        now = local_vm.now()
        self.search.sources.record_answer(source, is_fresher, now)
        return is_fresher

    def _record_unreachable(self, source: str, sent_at: float) -> None:
        """Records that a source closed or refused a call, or was silent.

        Where one is silent the others may be as well.
        """
        known = self.search.sources
        if self.vm.now() - sent_at < CALL_TIMEOUT_SECONDS:
            known.record_refusal(source)
        else:
            known.record_failure()

    def _long_poll_ms(self) -> int:
        """Returns how long a fetch may wait for changes, in milliseconds."""
        bound_ms = self.vm.catalog.fleet.freshness_ms
        return min(MAX_LONG_POLL_MS, int(bound_ms * LONG_POLL_RATIO))

    async def _wait_applied(
        self, response: messages.FetchResponse, sent_at: float
    ) -> None:
        """Records the age of a response once the log of this VM has caught up.

        Waits up to CALL_TIMEOUT_SECONDS until the log is applied up to the
        index of the response.
        """
        local_vm = self.vm
        deadline = local_vm.now() + CALL_TIMEOUT_SECONDS
        while (
            local_vm.tree.index < response.index and local_vm.now() < deadline
        ):
            await asyncio.sleep(0.01)
        if local_vm.tree.index >= response.index:
            local_vm.freshness.record_age(sent_at, response.age_ms)

    def _apply_response(
        self, response: messages.FetchResponse, sent_at: float
    ) -> None:
        local_vm = self.vm
        if response.index < local_vm.tree.index:
            return
        if response.nodes is not None:
            latest = tree.from_nodes(
                response.nodes, response.index, response.changed_index
            )
            local_vm.tree.replace_with(latest)
        elif response.deltas is not None:
            local_vm.tree.apply_deltas(response.deltas, response.index)
        local_vm.activate_settings()
        local_vm.freshness.record_age(sent_at, response.age_ms)

    async def answer_fetch(
        self, request: messages.Fetch
    ) -> messages.FetchResponse:
        """Answers another VM's fetch.

        If there is no change after the requested index, waits for one up to
        the time in the request (at most MAX_LONG_POLL_MS). The response has an
        age of -1 ms and no changes if this VM has no settings, or older ones
        than the sender of the request.
        """
        local_vm = self.vm
        if local_vm.tree.changed_index <= request.index and request.wait_ms > 0:
            changed = local_vm.settings_changed
            seconds = min(request.wait_ms, MAX_LONG_POLL_MS) / 1000
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await changed.wait()
        if local_vm.tree.index == 0:
            return messages.FetchResponse(0, -1, 0, deltas=[])
        age_ms = local_vm.settings_age_ms()
        if local_vm.tree.index < request.index:
            # The sender's settings are newer than those of this VM.
            return messages.FetchResponse(local_vm.tree.index, -1, 0, deltas=[])
        deltas = local_vm.tree.deltas_since(request.index)
        if deltas is not None and request.index > 0:
            return messages.FetchResponse(
                local_vm.tree.index, age_ms, 0, deltas=deltas
            )
        return messages.FetchResponse(
            local_vm.tree.index,
            age_ms,
            0,
            nodes=dict(local_vm.tree.nodes),
            changed_index=local_vm.tree.changed_index,
        )


def _digest(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _addresses_by_hash(name: str, records: list[messages.Vm]) -> list[str]:
    """Returns the addresses of VMs in an order that depends on `name`.

    Each VM thus prefers other sources, which spreads the load.
    """
    ordered = sorted(records, key=lambda r: _digest(name + "/" + r.name))
    return [record.peer_address for record in ordered]
