"""Keeps a VM's settings current: fetches from replicas or from relays."""

import asyncio
import contextlib
import hashlib

from pollenseam import errors
from pollenseam import lifecycles
from pollenseam import messages
from pollenseam import peers
from pollenseam import tree
from pollenseam import vm

MAX_LONG_POLL_MS = 1000
LONG_POLL_RATIO = 0.2
CALL_TIMEOUT_SECONDS = 1.0
RETRY_SECONDS = 0.1
REPLICA_POLL_SECONDS = 0.3
RELAYS_PER_DOMAIN = 2
DETACH_AFTER_FAILURES = 10


class Follower:
    """Fetches settings for one VM and serves them to others.

    Attributes:
        vm: The VM's view.
        source: Address that it fetches from now.
    """

    def __init__(self, local_vm: vm.Vm) -> None:
        self.vm = local_vm
        self.source = ""
        self._failures = 0

    async def run(self) -> None:
        """Fetches until cancelled."""
        while True:
            if self._is_leader():
                self.vm.note_settings()
                await asyncio.sleep(REPLICA_POLL_SECONDS)
                continue
            source = self._choose_source()
            if not source:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self.source = source
            if await self._fetch(source):
                self._failures = 0
            else:
                self._record_failure()
                await asyncio.sleep(RETRY_SECONDS)

    def _record_failure(self) -> None:
        self._failures += 1
        control = self.vm.control
        if control is None or self._failures < DETACH_AFTER_FAILURES:
            return
        if control.failure_reason or not control.replica.leader:
            self.vm.detach()

    def _is_leader(self) -> bool:
        control = self.vm.control
        return control is not None and control.is_leader

    def _is_replica(self) -> bool:
        """Tells whether the settings come through the replica's own log."""
        own = self.vm
        if own.control is None or not own.is_attached:
            return False
        if not own.control.is_member:
            own.detach()
        return own.is_attached

    def _choose_source(self) -> str:
        candidates = self._source_candidates()
        if not candidates:
            return ""
        return candidates[self._failures % len(candidates)]

    def _source_candidates(self) -> list[str]:
        """Returns addresses to fetch from, the preferred one first."""
        own = self.vm
        found: list[str] = []
        if self._is_replica() and own.control is not None:
            found.append(own.control.leader_address)
        vms = own.directory.live(own.now())[1:]
        usable = [r for r in vms if r.state != lifecycles.VmState.STARTING]
        relays = self._relays(usable)
        replicas = [r for r in usable if r.replica_id]
        if own.flags.vm not in relays:
            found += [r.peer_address for r in usable if r.name in relays]
        found += _addresses_by_hash(own.flags.vm, replicas)
        found += _addresses_by_hash(own.flags.vm, usable)
        found += own.flags.seeds
        found += own.flags.initial_replicas.values()
        skip = ("", own.flags.peer_address)
        return [a for a in dict.fromkeys(found) if a not in skip]

    def _relays(self, vms: list[messages.Vm]) -> set[str]:
        """Returns the VMs of the failure domain that fetch from replicas."""
        own = self.vm.directory.own_record
        near = [r for r in vms if r.failure_domain == own.failure_domain]
        names = sorted(r.name for r in [own, *near])
        if len(names) <= RELAYS_PER_DOMAIN:
            return set(names)
        return set(sorted(names, key=_digest)[:RELAYS_PER_DOMAIN])

    async def _fetch(self, source: str) -> bool:
        own = self.vm
        is_replica = self._is_replica()
        wait_ms = 0 if is_replica else self._long_poll_ms()
        request = messages.Fetch(own.flags.vm, own.tree.index, wait_ms, 0)
        sent_at = own.now()
        age_before = own.freshness.as_of
        try:
            feed = await own.peers.call(
                source,
                peers.FETCH,
                request,
                wait_ms / 1000 + CALL_TIMEOUT_SECONDS,
            )
        except errors.UnreachableError:
            return False
        if is_replica:
            await self._wait_applied(feed, sent_at)
            await asyncio.sleep(REPLICA_POLL_SECONDS)
        else:
            self._apply_feed(feed, sent_at)
        # A source that is cut off itself answers, but its age stands still.
        return own.freshness.as_of != age_before

    def _long_poll_ms(self) -> int:
        """Returns how long a fetch may wait for news, in milliseconds."""
        bound_ms = self.vm.catalog.fleet.freshness_ms
        return min(MAX_LONG_POLL_MS, int(bound_ms * LONG_POLL_RATIO))

    async def _wait_applied(
        self, feed: messages.FetchResponse, sent_at: float
    ) -> None:
        """Counts an age once the own log has been applied that far."""
        own = self.vm
        deadline = own.now() + CALL_TIMEOUT_SECONDS
        while own.tree.index < feed.index and own.now() < deadline:
            await asyncio.sleep(0.01)
        if own.tree.index >= feed.index:
            own.freshness.note(sent_at, feed.age_ms)

    def _apply_feed(self, feed: messages.FetchResponse, sent_at: float) -> None:
        own = self.vm
        if feed.index < own.tree.index:
            return
        if feed.nodes is not None:
            found = tree.whole(feed.nodes, feed.index, feed.changed_index)
            own.tree.replace(found)
        elif feed.deltas is not None:
            own.tree.follow(feed.deltas, feed.index)
        own.note_settings()
        own.freshness.note(sent_at, feed.age_ms)

    async def answer_fetch(
        self, request: messages.Fetch
    ) -> messages.FetchResponse:
        """Answers another VM's fetch, waiting a while for news."""
        own = self.vm
        if own.tree.changed_index <= request.index and request.wait_ms > 0:
            changed = own.changed
            seconds = min(request.wait_ms, MAX_LONG_POLL_MS) / 1000
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    await changed.wait()
        if own.tree.index == 0:
            return messages.FetchResponse(0, -1, 0, deltas=[])
        age_ms = own.settings_age_ms()
        if own.tree.index < request.index:
            # The asker knows more than this VM does.
            return messages.FetchResponse(own.tree.index, -1, 0, deltas=[])
        deltas = own.tree.since(request.index)
        if deltas is not None and request.index > 0:
            return messages.FetchResponse(
                own.tree.index, age_ms, 0, deltas=deltas
            )
        return messages.FetchResponse(
            own.tree.index,
            age_ms,
            0,
            nodes=dict(own.tree.nodes),
            changed_index=own.tree.changed_index,
        )


def _digest(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def _addresses_by_hash(name: str, records: list[messages.Vm]) -> list[str]:
    """Returns addresses in an order that differs from VM to VM."""
    ordered = sorted(records, key=lambda r: _digest(name + "/" + r.name))
    return [record.peer_address for record in ordered]
