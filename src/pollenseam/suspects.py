"""What one entry VM knows of requests that may crash upstreams."""

from collections.abc import Iterable

from pollenseam import crashes
from pollenseam import crashwatch
from pollenseam import errors

# Reports that one message carries; the others follow with the next one.
MAX_REPORTED = 128


class OwnRun:
    """A run through this VM that ended with its upstream.

    Attributes:
        run: The run.
        is_reported: Whether the leader has received it.
    """

    __slots__ = ("run", "is_reported")

    def __init__(self, run: crashwatch.CrashedRun) -> None:
        self.run = run
        self.is_reported = False

    def to_report(self, now: float) -> crashes.CrashReport:
        """Returns the message for the leader."""
        age_ms = max(0, int((now - self.run.broken_at) * 1000))
        return crashes.CrashReport(
            self.run.fingerprint, self.run.upstream, self.run.started_ms, age_ms
        )


class Known:
    """What the leader said of a request.

    Attributes:
        crashes: Crashes that no other request explains.
        blocked_until: Time in seconds until which it must not be sent.
        heard_at: Time in seconds at which the leader said so.
    """

    __slots__ = ("crashes", "blocked_until", "heard_at")

    def __init__(
        self, crashes: int, blocked_until: float, heard_at: float
    ) -> None:
        self.crashes = crashes
        self.blocked_until = blocked_until
        self.heard_at = heard_at


class Watchlist:
    """Suspects and blocked requests, as one entry VM knows them.

    Attributes:
        own_runs: Crashed runs through this VM, by fingerprint and start of
            the upstream, oldest first.
        own_counts: Number of `own_runs` by fingerprint.
        known: What the leader said, by fingerprint.
        succeeded: Fingerprints of suspects of which a run through this VM
            succeeded, not reported yet.
    """

    __slots__ = ("own_runs", "own_counts", "known", "succeeded")

    def __init__(self) -> None:
        self.own_runs: dict[tuple[bytes, str, int], OwnRun] = {}
        self.own_counts: dict[bytes, int] = {}
        self.known: dict[bytes, Known] = {}
        self.succeeded: dict[bytes, None] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of any request."""
        return not self.own_runs and not self.known

    def record_crash(self, run: crashwatch.CrashedRun) -> None:
        """Records a run through this VM that ended with its upstream."""
        key = (run.fingerprint, run.upstream, run.started_ms)
        if key in self.own_runs:
            return
        self.succeeded.pop(run.fingerprint, None)
        self.own_runs[key] = OwnRun(run)
        count = self.own_counts.get(run.fingerprint, 0)
        self.own_counts[run.fingerprint] = count + 1
        if len(self.own_runs) > crashes.MAX_SUSPECTS:
            self._drop_own(next(iter(self.own_runs)))

    def record_success(self, fingerprint: bytes) -> None:
        """Records that a run of a request succeeded."""
        is_own = fingerprint in self.own_counts
        if not is_own and fingerprint not in self.known:
            return
        if is_own:
            for key in [k for k in self.own_runs if k[0] == fingerprint]:
                self._drop_own(key)
        self.known.pop(fingerprint, None)
        self.succeeded[fingerprint] = None

    def crash_count(self, fingerprint: bytes) -> int:
        """Returns the number of crashes that a request may have caused."""
        known = self.known.get(fingerprint)
        own = self.own_counts.get(fingerprint, 0)
        return max(own, known.crashes if known is not None else 0)

    def check(self, fingerprint: bytes, now: float) -> bool:
        """Returns whether a request may have crashed upstreams before.

        Raises:
            RefusedError: The request is blocked for crashing upstreams.
        """
        until = self.blocked_until(fingerprint, now)
        if until is not None:
            raise errors.refuse(
                errors.Kind.CRASHES_UPSTREAMS,
                f"each upstream that ran request {fingerprint.hex()} crashed",
                retry_after=until - now,
            )
        return self.crash_count(fingerprint) > 0

    def blocked_until(self, fingerprint: bytes, now: float) -> float | None:
        """Returns until when a request is blocked, or None if it is not."""
        known = self.known.get(fingerprint)
        if known is None or known.blocked_until <= now:
            return None
        return known.blocked_until

    def reports(self, is_full: bool, now: float) -> list[crashes.CrashReport]:
        """Returns the crashed runs for the next message to the leader.

        Args:
            is_full: Whether to return those that were reported before as well.
            now: Time in seconds.
        """
        due = [
            own.to_report(now)
            for own in self.own_runs.values()
            if is_full or not own.is_reported
        ]
        return due[:MAX_REPORTED]

    def blocks(self, now: float) -> list[crashes.Suspicion]:
        """Returns the blocks that this VM knows, for a new leader."""
        return [
            crashes.Suspicion(
                fingerprint,
                known.crashes,
                int((known.blocked_until - now) * 1000),
            )
            for fingerprint, known in self.known.items()
            if known.blocked_until > now
        ]

    def mark_reported(
        self,
        reports: Iterable[crashes.CrashReport],
        succeeded: Iterable[bytes],
    ) -> None:
        """Records that the leader has received these reports."""
        for report in reports:
            own = self.own_runs.get((report.fingerprint, *report.start))
            if own is not None:
                own.is_reported = True
        for fingerprint in succeeded:
            self.succeeded.pop(fingerprint, None)

    def adopt(
        self, suspicions: Iterable[crashes.Suspicion], now: float
    ) -> None:
        """Records what the leader says of requests."""
        for suspicion in suspicions:
            fingerprint = suspicion.fingerprint
            if fingerprint in self.succeeded:
                continue
            if not suspicion.crashes and not suspicion.blocked_ms:
                self._clear(fingerprint)
                continue
            until = now + suspicion.blocked_seconds
            self.known[fingerprint] = Known(suspicion.crashes, until, now)

    def _clear(self, fingerprint: bytes) -> None:
        """Clears a request of the crashes that the leader knows of."""
        self.known.pop(fingerprint, None)
        for key, own in list(self.own_runs.items()):
            if key[0] == fingerprint and own.is_reported:
                self._drop_own(key)

    def expire(self, now: float) -> None:
        """Drops what is no longer of use."""
        oldest = now - crashes.CRASH_SECONDS
        for key, own in list(self.own_runs.items()):
            if own.run.broken_at < oldest:
                self._drop_own(key)
        for fingerprint, known in list(self.known.items()):
            if max(known.heard_at - oldest, known.blocked_until - now) <= 0:
                del self.known[fingerprint]

    def _drop_own(self, key: tuple[bytes, str, int]) -> None:
        del self.own_runs[key]
        fingerprint = key[0]
        self.own_counts[fingerprint] -= 1
        if not self.own_counts[fingerprint]:
            del self.own_counts[fingerprint]
