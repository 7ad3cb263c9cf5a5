"""Which requests are known to crash the upstreams that run them.

Entry VMs report each request that an upstream had when it ended, and each such
request that later ran successfully. The leader blocks a request of which
MIN_CRASHES runs ended so, and none well. All other requests that shared those
upstreams are then cleared of these crashes, as they are explained.
"""

from collections.abc import Iterable

import msgspec

from pollenseam import revisions

MIN_CRASHES = 3
# Ends of several upstreams within this time count as one: they have a common
# cause, such as a rack that lost power.
COMMON_CAUSE_SECONDS = 0.25
# A crash is forgotten after this time.
CRASH_SECONDS = 300.0
# After this time a blocked request may run again. Its crashes are then
# forgotten.
BLOCK_SECONDS = 900.0
# Suspects that are kept; those that were suspected first are dropped first.
MAX_SUSPECTS = 1024
# No more requests than this are blocked at a time. If so many seem to crash
# upstreams, something else does.
MAX_BLOCKED = 64
NEVER = float("-inf")


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """One run of a request that ended with its upstream.

    Attributes:
        fingerprint: Fingerprint of the request.
        upstream: Id of the upstream.
        started_ms: Start of the upstream in Unix milliseconds.
        age_ms: Time since the connection broke, in milliseconds.
    """

    fingerprint: bytes
    upstream: str
    started_ms: int
    age_ms: int

    @property
    def start(self) -> "Start":
        """The start of the upstream that ended."""
        return self.upstream, self.started_ms


class Suspicion(msgspec.Struct, array_like=True, frozen=True):
    """What is known of one request, as sent between VMs.

    Attributes:
        fingerprint: Fingerprint of the request.
        crashes: Crashes that no other request explains; 0 for none.
        blocked_ms: Milliseconds for which the block still holds; 0 if
            the request is not blocked.
    """

    fingerprint: bytes
    crashes: int
    blocked_ms: int = 0

    @property
    def blocked_seconds(self) -> float:
        """Time for which the block still holds, at most BLOCK_SECONDS."""
        return min(max(0, self.blocked_ms) / 1000, BLOCK_SECONDS)


# A start of an upstream: its id, and its start in Unix milliseconds.
Start = tuple[str, int]


class Suspect:
    """A request that upstreams had when they ended. Times are in seconds.

    Attributes:
        crashes: Time of each crash, by start of the upstream.
        succeeded_at: Time of the last run that succeeded.
        blocked_until: Time until which the request is blocked.
        changed_at: Time of the last change.
        revision: Revision of the suspects at the last change.
    """

    __slots__ = (
        "crashes",
        "succeeded_at",
        "blocked_until",
        "changed_at",
        "revision",
    )

    def __init__(self) -> None:
        self.crashes: dict[Start, float] = {}
        self.succeeded_at = NEVER
        self.blocked_until = NEVER
        self.changed_at = 0.0
        self.revision = 0

    def count(self) -> int:
        """Returns the number of crashes; those of a common cause are one."""
        count = 0
        last = NEVER
        for at in sorted(self.crashes.values()):
            if at - last > COMMON_CAUSE_SECONDS:
                count += 1
                last = at
        return count

    def is_blocked(self, now: float) -> bool:
        """Returns whether the request must not be sent now."""
        return now < self.blocked_until

    def to_message(self, fingerprint: bytes, now: float) -> Suspicion:
        """Returns what other VMs are told."""
        blocked_ms = 0
        if self.is_blocked(now):
            blocked_ms = int((self.blocked_until - now) * 1000)
        return Suspicion(fingerprint, self.count(), blocked_ms)


class Blocklist:
    """The leader's record of all suspects.

    Attributes:
        suspects: Suspects by fingerprint.
        candidates: Fingerprints of suspects with new crashes.
        explained: Time of the block that explains a crash, by start of
            the upstream, the latest last.
    """

    __slots__ = ("suspects", "candidates", "explained")

    def __init__(self) -> None:
        self.suspects: revisions.Records[bytes, Suspect] = revisions.Records()
        self.candidates: set[bytes] = set()
        self.explained: dict[Start, float] = {}

    def record_success(self, fingerprint: bytes, now: float) -> None:
        """Clears a request, as a run of it succeeded."""
        suspect = self._suspect(fingerprint)
        suspect.succeeded_at = now
        suspect.blocked_until = NEVER
        suspect.crashes.clear()
        self._touch(fingerprint, suspect, now)

    def record_crash(self, report: CrashReport, now: float) -> None:
        """Records that a run of a request ended with its upstream.

        One that is said to end in the future is ignored.
        """
        if report.age_ms < 0:
            return
        at = now - report.age_ms / 1000
        suspect = self.suspects.get(report.fingerprint)
        if suspect is not None:
            if at <= suspect.succeeded_at or report.start in suspect.crashes:
                return
            if suspect.is_blocked(now):
                suspect.crashes[report.start] = at
                self._explain([report.start], now)
                return
        if report.start in self.explained:
            return
        suspect = self._suspect(report.fingerprint)
        suspect.crashes[report.start] = at
        self.candidates.add(report.fingerprint)
        self._touch(report.fingerprint, suspect, now)

    def block(self, now: float) -> list[bytes]:
        """Blocks the requests that crashed enough upstreams.

        The one with the most crashes is blocked first, as its crashes may
        explain those of others.

        Returns:
            Fingerprints of the requests that are blocked now.
        """
        blocked: list[bytes] = []
        while self.candidates and self.count_blocked(now) < MAX_BLOCKED:
            fingerprint = self._worst_suspect(now)
            if fingerprint is None:
                break
            suspect = self.suspects[fingerprint]
            suspect.blocked_until = now + BLOCK_SECONDS
            self._touch(fingerprint, suspect, now)
            self._explain(suspect.crashes, now)
            blocked.append(fingerprint)
        self.candidates.clear()
        return blocked

    def restore(self, suspicion: Suspicion, now: float) -> None:
        """Takes over a block by an earlier leader, which a VM knows."""
        suspect = self._suspect(suspicion.fingerprint)
        if suspect.is_blocked(now) or suspect.succeeded_at > NEVER:
            return
        suspect.blocked_until = now + suspicion.blocked_seconds
        self._touch(suspicion.fingerprint, suspect, now)

    def changes_since(self, revision: int, now: float) -> list[Suspicion]:
        """Returns what is known of the suspects that changed since then."""
        return [
            suspect.to_message(fingerprint, now)
            for fingerprint, suspect in self.suspects.changed_since(revision)
        ]

    def expire(self, now: float) -> None:
        """Drops suspects of which nothing has been heard for long."""
        oldest = now - CRASH_SECONDS
        old: list[bytes] = []
        for fingerprint, suspect in self.suspects.items():
            if suspect.changed_at > oldest:
                break
            if not suspect.is_blocked(now):
                old.append(fingerprint)
        for fingerprint in old:
            del self.suspects[fingerprint]
        while self.explained and next(iter(self.explained.values())) <= oldest:
            del self.explained[next(iter(self.explained))]

    def count_blocked(self, now: float) -> int:
        """Returns the number of blocked requests."""
        return sum(s.is_blocked(now) for s in self.suspects.values())

    def _suspect(self, fingerprint: bytes) -> Suspect:
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            suspect = self.suspects[fingerprint] = Suspect()
            if len(self.suspects) > MAX_SUSPECTS:
                self._drop_oldest()
        return suspect

    def _drop_oldest(self) -> None:
        for fingerprint, suspect in self.suspects.items():
            if suspect.blocked_until < suspect.changed_at:
                del self.suspects[fingerprint]
                return

    def _worst_suspect(self, now: float) -> bytes | None:
        worst: bytes | None = None
        most = 0
        for fingerprint in self.candidates & self.suspects.keys():
            suspect = self.suspects[fingerprint]
            if suspect.is_blocked(now) or len(suspect.crashes) <= most:
                continue
            if suspect.count() >= MIN_CRASHES:
                worst = fingerprint
                most = len(suspect.crashes)
        return worst

    def _explain(self, starts: Iterable[Start], now: float) -> None:
        """Clears all other suspects of crashes that are explained."""
        starts = set(starts)
        for start in starts:
            self.explained.pop(start, None)
            self.explained[start] = now
        cleared: list[bytes] = []
        for fingerprint, suspect in self.suspects.items():
            if suspect.is_blocked(now):
                continue
            shared = starts & suspect.crashes.keys()
            for start in shared:
                del suspect.crashes[start]
            if shared:
                cleared.append(fingerprint)
        for fingerprint in cleared:
            self._touch(fingerprint, self.suspects[fingerprint], now)

    def _touch(self, fingerprint: bytes, suspect: Suspect, now: float) -> None:
        suspect.changed_at = now
        self.suspects.touch(fingerprint, suspect)
