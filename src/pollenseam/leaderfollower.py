"""What a control VM does while another one leads: it watches the leader."""

import asyncio
import random
from collections.abc import Callable

from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import events
from pollenseam import freshness
from pollenseam import joining
from pollenseam import liveness
from pollenseam import peers
from pollenseam import replicarunner
from pollenseam import upstreamrecords

# Interval at which a follower sends a Watch to the leader.
WATCH_INTERVAL_SECONDS = 0.4
CALL_TIMEOUT_SECONDS = 0.8
# Time between two looks whether the replica has applied what the leader has.
APPLIED_POLL_SECONDS = 0.01
# Age of the local state above which this VM refuses heartbeats of upstreams,
# so that they announce to another control VM.
LEADER_UNREACHABLE_SECONDS = 1.5


class LeaderFollower:
    """Watches the leader, and asks to join a quorum that left this VM out.

    Attributes:
        log: Event log.
        now: Returns the time since boot in seconds.
        peers: Client for calls to other VMs.
        seeds: Addresses of some control VMs; may include the own address.
        find_runner: Returns the runner of the replica.
        find_own_record: Returns the record of this VM, as sent to other VMs.
        liveness: Directory of VMs, adopted from the leader.
        upstream_records: Upstreams that announced themselves to this VM.
        freshness: Age of the replica's state.
    """

    __slots__ = (
        "log",
        "now",
        "peers",
        "seeds",
        "find_runner",
        "find_own_record",
        "liveness",
        "upstream_records",
        "freshness",
        "_was_leader_reachable",
    )

    def __init__(
        self,
        log: events.EventLog,
        now: Callable[[], float],
        peer_client: peers.Client,
        seeds: list[str],
        find_runner: Callable[[], replicarunner.ReplicaRunner],
        find_own_record: Callable[[], controlmessages.ControlVm],
        tracker: liveness.LivenessTracker,
        upstream_records: upstreamrecords.UpstreamRecords,
    ) -> None:
        self.log = log
        self.now = now
        self.peers = peer_client
        self.seeds = seeds
        self.find_runner = find_runner
        self.find_own_record = find_own_record
        self.liveness = tracker
        self.upstream_records = upstream_records
        self.freshness = freshness.Freshness()
        self._was_leader_reachable = False

    async def follow_once(self) -> None:
        """Sends a Watch to the leader, if this VM is not it, after an interval.

        The request reports upstreams that announced themselves to this VM. The
        response gives the age of the leader's state and the directory.
        """
        await asyncio.sleep(WATCH_INTERVAL_SECONDS)
        runner = self.find_runner()
        self._log_leader_reachability()
        if runner.is_leader:
            return
        if runner.has_lost_leader():
            await self._ask_to_join()
        if runner.leader_address:
            await self._watch(runner.leader_address)

    async def _watch(self, address: str) -> None:
        unreported_ids = self.upstream_records.unreported_ids
        announced_ids = sorted(unreported_ids)
        request = controlmessages.Watch(
            -1,
            0,
            self.liveness.directory.version,
            0,
            self.find_own_record(),
            announced_ids,
        )
        sent_at = self.now()
        try:
            response: controlmessages.WatchResponse = await self.peers.call(
                address, controlmessages.WATCH, request, CALL_TIMEOUT_SECONDS
            )
        except errors.UnreachableError:
            return
        unreported_ids.difference_update(announced_ids)
        await self._handle_response(response, sent_at)

    async def _handle_response(
        self, response: controlmessages.WatchResponse, sent_at: float
    ) -> None:
        if response.directory is not None:
            self.liveness.adopt_directory(response.directory)
        if not response.is_member:
            await joining.request_join(
                self.peers, response.leader, self.find_own_record()
            )
            return
        deadline = self.now() + WATCH_INTERVAL_SECONDS
        while self.find_runner().state.index < response.index:
            if self.now() >= deadline:
                return
            await asyncio.sleep(APPLIED_POLL_SECONDS)
        self.freshness.record_age(sent_at, response.age_ms)

    async def _ask_to_join(self) -> None:
        """Asks one other control VM, drawn by lot, for the quorum's leader.

        A replica that was taken out while it could not take part is sent
        nothing any more, and its own log may still say that it is a voter.
        """
        own_record = self.find_own_record()
        addresses = joining.other_addresses(
            self.find_runner().replica.members, self.seeds, own_record
        )
        if addresses:
            address = random.choice(addresses)
            await joining.request_join(self.peers, address, own_record)

    def _log_leader_reachability(self) -> None:
        is_reachable = self.is_leader_reachable()
        if is_reachable != self._was_leader_reachable:
            self._was_leader_reachable = is_reachable
            event = "leader-reached" if is_reachable else "leader-out-of-reach"
            self.log.emit(event, age_ms=self.age_ms())

    def age_ms(self) -> int:
        """Returns the age of the local state in ms; -1 if it is not known."""
        confirmed = self.find_runner().confirmed_at()
        if confirmed is not None:
            self.freshness.record_age(confirmed, 0)
        return self.freshness.age_ms(self.now())

    def is_leader_reachable(self) -> bool:
        """Whether the leader confirmed the local state recently enough.

        The limit is LEADER_UNREACHABLE_SECONDS.
        """
        return 0 <= self.age_ms() <= LEADER_UNREACHABLE_SECONDS * 1000
