"""Finds out whether an upstream ended while it had requests of this VM.

A broken connection alone is no evidence: connections are also reset on the way,
or closed by an upstream that goes on. If a new connection is refused, or the
upstream announces a later start, the upstream has ended. An upstream that is
leaving ends as planned, so its end counts for nothing.
"""

import asyncio
from collections.abc import Callable

from pollenseam import events
from pollenseam import registry
from pollenseam import tasks

CONNECT_SECONDS = 0.3
# A later start of an upstream is evidence for this time after the break.
RESTART_SECONDS = 8.0
MAX_BROKEN_RUNS = 256

Clock = Callable[[], float]


class CrashedRun:
    """A request that an upstream had when it ended.

    Attributes:
        fingerprint: Fingerprint of the request.
        upstream: Id of the upstream.
        started_ms: Start of the upstream in Unix milliseconds.
        broken_at: Time in seconds at which the connection broke.
    """

    __slots__ = ("fingerprint", "upstream", "started_ms", "broken_at")

    def __init__(
        self,
        fingerprint: bytes,
        upstream: str,
        started_ms: int,
        broken_at: float,
    ) -> None:
        self.fingerprint = fingerprint
        self.upstream = upstream
        self.started_ms = started_ms
        self.broken_at = broken_at


class UpstreamStart:
    """One start of an upstream.

    Attributes:
        id: Id of the upstream.
        started_ms: Start in Unix milliseconds, or another number that is higher
            for each later start.
        service: Name of the service.
        address: IP:PORT.
    """

    __slots__ = ("id", "started_ms", "service", "address")

    def __init__(
        self, id: str, started_ms: int, service: str, address: str
    ) -> None:
        self.id = id
        self.started_ms = started_ms
        self.service = service
        self.address = address


class Watched:
    """One start of an upstream of which connections broke.

    Attributes:
        upstream: The start of the upstream.
        runs: Requests that it had and that are not reported yet.
        broken_at: Time in seconds of the latest break.
        has_ended: Whether the upstream is known to have ended.
        is_probed: Whether a connection is being opened to find out.
    """

    __slots__ = ("upstream", "runs", "broken_at", "has_ended", "is_probed")

    def __init__(self, upstream: UpstreamStart, broken_at: float) -> None:
        self.upstream = upstream
        self.broken_at = broken_at
        self.runs: list[CrashedRun] = []
        self.has_ended = False
        self.is_probed = False


class CrashWatch:
    """Watches the upstreams of which connections broke.

    Attributes:
        log: Event log.
        now: Returns the time in seconds.
        on_crash: Called with each request that an upstream had when it ended.
        is_leaving: Returns whether an upstream is about to stop as planned.
        watched: Upstreams by id.
    """

    def __init__(
        self,
        log: events.EventLog,
        now: Clock,
        on_crash: Callable[[CrashedRun], None],
        is_leaving: Callable[[UpstreamStart], bool],
    ) -> None:
        self.log = log
        self.now = now
        self.on_crash = on_crash
        self.is_leaving = is_leaving
        self.watched: dict[str, Watched] = {}
        self._tasks = tasks.Group(log)

    def close(self) -> None:
        """Ends all open probes."""
        self._tasks.cancel()

    def record_break(self, fingerprint: bytes, upstream: UpstreamStart) -> None:
        """Records that a connection broke while an upstream had a request."""
        if self.is_leaving(upstream):
            return
        now = self.now()
        self._drop_old(now)
        watched = self.watched.get(upstream.id)
        started_ms = upstream.started_ms
        if watched is None or watched.upstream.started_ms != started_ms:
            watched = self.watched[upstream.id] = Watched(upstream, now)
        watched.broken_at = now
        if len(watched.runs) < MAX_BROKEN_RUNS:
            watched.runs.append(
                CrashedRun(fingerprint, upstream.id, upstream.started_ms, now)
            )
        if watched.has_ended:
            self._report(watched)
        elif not watched.is_probed:
            watched.is_probed = True
            self._tasks.attempt(lambda: self._probe(watched))

    def record_upstreams(self, records: dict[str, registry.Upstream]) -> None:
        """Looks for later starts among the latest records of all upstreams."""
        for id, watched in self.watched.items():
            latest = records.get(id)
            if (
                latest is not None
                and latest.started_ms > watched.upstream.started_ms
                and not watched.has_ended
            ):
                self._record_end(watched, "later-start")

    async def _probe(self, watched: Watched) -> None:
        host, _, port = watched.upstream.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            self._record_end(watched, "connection-refused")
        except (OSError, ValueError) as error:
            # Neither accepted nor refused: a partition, or no power.
            self.log.emit_often(
                "upstream-end-unknown",
                upstream=watched.upstream.id,
                why=repr(error),
            )
        else:
            writer.close()
        finally:
            watched.is_probed = False

    def _record_end(self, watched: Watched, evidence: str) -> None:
        watched.has_ended = True
        self.log.emit_often(
            "upstream-ended",
            upstream=watched.upstream.id,
            service=watched.upstream.service,
            evidence=evidence,
            runs=len(watched.runs),
        )
        self._report(watched)

    def _report(self, watched: Watched) -> None:
        # It may have announced its stop after the connection broke.
        if not self.is_leaving(watched.upstream):
            for run in watched.runs:
                self.on_crash(run)
        watched.runs.clear()

    def _drop_old(self, now: float) -> None:
        """Drops upstreams whose connections broke long ago."""
        oldest = now - RESTART_SECONDS
        old = [id for id, w in self.watched.items() if w.broken_at < oldest]
        for id in old:
            del self.watched[id]
