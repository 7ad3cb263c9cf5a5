"""Keeps an entry VM's copy of the registry current.

The VM asks one control VM at a time, the source, for changes, and another one
if the source does not answer or is partitioned from the leader.
"""

import asyncio
from collections.abc import Callable

from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import events
from pollenseam import freshness
from pollenseam import links
from pollenseam import peers
from pollenseam import registry
from pollenseam import registrysync
from pollenseam import sourcesearch

WATCH_WAIT_MS = 1000
# The same for a source that is used although it had no news.
STALE_WATCH_WAIT_MS = 500
CALL_TIMEOUT_SECONDS = 0.6
RETRY_SECONDS = 0.05
# A source whose registry is older than this counts as partitioned from the
# leader, and another source is used.
MAX_SOURCE_AGE_SECONDS = 1.2


class Place:
    """Where a VM is, for the choice of the nearest source.

    Attributes:
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        seeds: Peer addresses of some control VMs.
    """

    __slots__ = ("region", "failure_domain", "seeds")

    def __init__(
        self, region: str, failure_domain: str, seeds: list[str]
    ) -> None:
        self.region = region
        self.failure_domain = failure_domain
        self.seeds = seeds


class RegistryFollower:
    """Follows the registry and the directory of the fleet.

    Attributes:
        place: Place of this VM, and the first sources.
        log: Event log.
        peers: Client for calls to control VMs.
        now: Returns the time since boot in seconds.
        apply_update: Called after the copy of the registry has changed.
        apply_directory: Called with each new directory.
        adopt_leader: Called with the address of the leader.
        receiver: Copy of the registry in force on this VM, and the transfer
            in progress.
        directory: Control VMs and entry VMs of the fleet.
        freshness: Age of the registry.
        link: Network link of this VM.
        search: Finds out which control VMs answer.
        source: Address of the latest source, or "".
    """

    def __init__(
        self,
        place: Place,
        log: events.EventLog,
        peer_client: peers.Client,
        now: Callable[[], float],
        apply_update: Callable[[registrysync.Update], None],
        apply_directory: Callable[[controlmessages.Directory], None],
        adopt_leader: Callable[[str], None],
    ) -> None:
        self.place = place
        self.log = log
        self.peers = peer_client
        self.now = now
        self.apply_update = apply_update
        self.apply_directory = apply_directory
        self.adopt_leader = adopt_leader
        self.receiver = registrysync.Receiver()
        self.directory = controlmessages.Directory()
        self.freshness = freshness.Freshness()
        self.link = links.Link()
        self.search = sourcesearch.Search(self._ask, log, now)
        self.source = ""

    @property
    def registry(self) -> registry.Registry:
        """Items and upstreams in force on this VM."""
        return self.receiver.registry

    async def follow_once(self) -> None:
        """Asks a source for changes; waits for some before it returns.

        Without a source that answers, asks all control VMs which of them do.
        """
        addresses = self._addresses()
        source = self.search.sources.choose(addresses, self.now())
        if not source:
            await self.search.pause()
            await self.search.ask_all(addresses)
            return
        self._log_source(source)
        self.search.ask_better(addresses, source)
        if not await self._watch(source):
            await asyncio.sleep(RETRY_SECONDS)

    def stop(self) -> None:
        """Gives up the questions in progress."""
        self.search.stop()

    def _addresses(self) -> list[str]:
        """Returns the addresses of the control VMs, the nearest first."""
        place = self.place
        controls = sorted(
            self.directory.controls,
            key=lambda c: (
                c.failure_domain != place.failure_domain,
                c.region != place.region,
                c.address,
            ),
        )
        addresses = [c.address for c in controls]
        return addresses + [s for s in place.seeds if s not in addresses]

    async def _ask(self, address: str) -> bool:
        """Asks a control VM; returns whether it has news.

        Raises:
            UnreachableError: It does not answer.
        """
        request = controlmessages.Watch(-1, 0, self.directory.version)
        response: controlmessages.WatchResponse = await self.peers.call(
            address, controlmessages.WATCH, request, self._call_seconds(0)
        )
        has_news = self._has_news(response)
        if has_news:
            # Others may still name a leader that is none any more.
            self._adopt(response)
        return has_news

    def _call_seconds(self, wait_ms: int) -> float:
        seconds = wait_ms / 1000 + CALL_TIMEOUT_SECONDS
        return seconds + self.link.wait_seconds(self.now())

    def _has_news(self, response: controlmessages.WatchResponse) -> bool:
        is_young = 0 <= response.age_ms <= MAX_SOURCE_AGE_SECONDS * 1000
        return is_young and response.index >= self.receiver.latest_index

    def _log_source(self, source: str) -> None:
        if source != self.source:
            self.log.emit(
                "source-changed",
                source=source,
                before=self.source or None,
                age_ms=self.freshness.age_ms(self.now()),
            )
            self.source = source

    async def _watch(self, source: str) -> bool:
        """Sends one Watch; returns whether the source has news."""
        receiver = self.receiver
        sent_at = self.now()
        wait_ms = WATCH_WAIT_MS
        if receiver.is_transferring or self.freshness.as_of is None:
            wait_ms = 0
        elif not self.search.sources.is_usable(source, sent_at):
            wait_ms = STALE_WATCH_WAIT_MS
        request = controlmessages.Watch(
            receiver.base_index,
            wait_ms,
            self.directory.version,
            after=receiver.position,
        )
        try:
            response: controlmessages.WatchResponse = await self.peers.call(
                source,
                controlmessages.WATCH,
                request,
                self._call_seconds(wait_ms),
            )
        except errors.UnreachableError as error:
            self.search.sources.record_failure()
            self.log.emit(
                "source-unreachable",
                source=source,
                why=str(error),
                index=self.registry.index,
                seconds=self.now() - sent_at,
            )
            return False
        has_news = self._has_news(response)
        if not has_news:
            self.search.sources.record_failure()
        if response.index < receiver.latest_index:
            self.log.emit("source-behind", source=source, index=response.index)
            return False
        self._adopt(response)
        self._receive_page(response, sent_at)
        return has_news

    def _adopt(self, response: controlmessages.WatchResponse) -> None:
        directory = response.directory
        if directory is not None and directory.replaces(self.directory):
            self.directory = directory
            self.apply_directory(directory)
        if response.leader:
            self.adopt_leader(response.leader)

    def _receive_page(
        self, response: controlmessages.WatchResponse, sent_at: float
    ) -> None:
        if response.page is None:
            return
        update = self.receiver.receive(response.page, response.index)
        if update is None:
            return
        if update.is_whole or update.records:
            self.apply_update(update)
        self.freshness.record_age(sent_at, response.age_ms)
