"""Finds out whether an upstream ended while it had requests of this VM.

A broken connection alone is no evidence: connections are also reset on the way,
or closed by an upstream that goes on. If a new connection is refused, or the
upstream announces a later start, the upstream has ended.
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


class Watched:
    """One start of an upstream of which connections broke.

    Attributes:
        record: Record of the upstream at that time.
        runs: Requests that it had and that are not reported yet.
        broken_at: Time in seconds of the latest break.
        has_ended: Whether the upstream is known to have ended.
        is_probed: Whether a connection is being opened to find out.
    """

    __slots__ = ("record", "runs", "broken_at", "has_ended", "is_probed")

    def __init__(self, record: registry.Upstream, broken_at: float) -> None:
        self.record = record
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
        watched: Upstreams by id.
    """

    def __init__(
        self,
        log: events.EventLog,
        now: Clock,
        on_crash: Callable[[CrashedRun], None],
    ) -> None:
        self.log = log
        self.now = now
        self.on_crash = on_crash
        self.watched: dict[str, Watched] = {}
        self._tasks = tasks.Group(log)

    def close(self) -> None:
        """Ends all open probes."""
        self._tasks.cancel()

    def record_break(
        self, fingerprint: bytes, record: registry.Upstream
    ) -> None:
        """Records that a connection broke while an upstream had a request."""
        now = self.now()
        self._drop_old(now)
        watched = self.watched.get(record.id)
        if watched is None or watched.record.started_ms != record.started_ms:
            watched = self.watched[record.id] = Watched(record, now)
        watched.broken_at = now
        if len(watched.runs) < MAX_BROKEN_RUNS:
            watched.runs.append(
                CrashedRun(fingerprint, record.id, record.started_ms, now)
            )
        if watched.has_ended:
            self._report(watched)
        elif not watched.is_probed:
            watched.is_probed = True
            self._tasks.spawn(self._probe(watched))

    def record_upstreams(self, records: dict[str, registry.Upstream]) -> None:
        """Looks for later starts among the latest records of all upstreams."""
        for id, watched in self.watched.items():
            latest = records.get(id)
            if (
                latest is not None
                and latest.started_ms > watched.record.started_ms
                and not watched.has_ended
            ):
                self._record_end(watched, "later-start")

    async def _probe(self, watched: Watched) -> None:
        host, _, port = watched.record.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            self._record_end(watched, "connection-refused")
        except (OSError, ValueError) as error:
            # Neither accepted nor refused: a partition, or no power.
            self.log.emit_often(
                "upstream-end-unknown",
                upstream=watched.record.id,
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
            upstream=watched.record.id,
            service=watched.record.service,
            evidence=evidence,
            runs=len(watched.runs),
        )
        self._report(watched)

    def _report(self, watched: Watched) -> None:
        for run in watched.runs:
            self.on_crash(run)
        watched.runs.clear()

    def _drop_old(self, now: float) -> None:
        """Drops upstreams whose connections broke long ago."""
        oldest = now - RESTART_SECONDS
        old = [id for id, w in self.watched.items() if w.broken_at < oldest]
        for id in old:
            del self.watched[id]
