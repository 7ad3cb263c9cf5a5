"""The ledger of at-most-once requests: claims and stored answers."""

import collections
import hashlib

import msgspec

from pollenseam import commands
from pollenseam import errors

MAX_KEY_CHARACTERS = 256
MAX_CLAIMS_PER_WORKSPACE = 100_000


class Claim(msgspec.Struct, array_like=True):
    """The only run of one at-most-once request.

    Attributes:
        body_digest: Digest of the request that opened it.
        attempt: Attempt that may send the request.
        unknown_at_ms: State clock after which an open claim's outcome
            counts as unknown.
        expires_at_ms: State clock after which it is forgotten.
        answer: The upstream's answer once stored.
    """

    body_digest: str
    attempt: str
    unknown_at_ms: int
    expires_at_ms: int
    answer: commands.StoredAnswer | None = None


class Ledger:
    """Claims by workspace and idempotency key.

    The state clock only moves while a leader runs, so a claim is kept for
    at least its retention of real time.
    """

    __slots__ = ("claims", "counts")

    def __init__(self) -> None:
        self.claims: collections.OrderedDict[tuple[str, str], Claim] = (
            collections.OrderedDict()
        )
        self.counts: collections.Counter[str] = collections.Counter()

    def open(
        self, command: commands.OpenClaim, clock_ms: int, retention_ms: int
    ) -> commands.Outcome:
        """Grants the claim, or tells how the request stands."""
        self.expire(clock_ms)
        place = (command.workspace, command.key)
        claim = self.claims.get(place)
        if claim is not None:
            return _resolve_repeat(claim, command, clock_ms)
        if self.counts[command.workspace] >= MAX_CLAIMS_PER_WORKSPACE:
            detail = "the workspace has too many remembered requests"
            return commands.Outcome(errors.Kind.NO_ROOM, detail)
        self.claims[place] = Claim(
            command.body_digest,
            command.attempt,
            clock_ms + command.timeout_ms,
            clock_ms + max(retention_ms, 2 * command.timeout_ms),
        )
        self.counts[command.workspace] += 1
        return commands.Outcome(granted=True)

    def close(self, command: commands.CloseClaim) -> commands.Outcome:
        """Stores the answer of the attempt that holds the claim."""
        claim = self.claims.get((command.workspace, command.key))
        if claim is None or claim.attempt != command.attempt:
            detail = "the claim is not held by this attempt"
            return commands.Outcome(errors.Kind.CONFLICT, detail)
        claim.answer = command.answer
        return commands.Outcome()

    def release(self, command: commands.ReleaseClaim) -> commands.Outcome:
        """Forgets a claim whose request certainly did not run."""
        place = (command.workspace, command.key)
        claim = self.claims.get(place)
        if claim is None or claim.attempt != command.attempt or claim.answer:
            detail = "the claim is not held by this attempt"
            return commands.Outcome(errors.Kind.CONFLICT, detail)
        self._forget(place)
        return commands.Outcome()

    def expire(self, clock_ms: int) -> None:
        """Forgets claims whose retention is over, oldest first."""
        while self.claims:
            place, claim = next(iter(self.claims.items()))
            if claim.expires_at_ms > clock_ms:
                return
            self._forget(place)

    def _forget(self, place: tuple[str, str]) -> None:
        del self.claims[place]
        self.counts[place[0]] -= 1


def _resolve_repeat(
    claim: Claim, command: commands.OpenClaim, clock_ms: int
) -> commands.Outcome:
    if claim.body_digest != command.body_digest:
        detail = "this idempotency key was used with another request"
        return commands.Outcome(errors.Kind.KEY_REUSED, detail)
    if claim.answer is not None:
        return commands.Outcome(answer=claim.answer)
    if claim.attempt == command.attempt:
        return commands.Outcome(granted=True)
    if clock_ms >= claim.unknown_at_ms:
        detail = "the first send was lost; it may have run and will not again"
        return commands.Outcome(errors.Kind.OUTCOME_UNKNOWN, detail)
    detail = "the first send is still running"
    return commands.Outcome(errors.Kind.IN_PROGRESS, detail)


def quorum_group(workspace: str, key: str, groups: int) -> int:
    """Returns the quorum group, 0 to `groups` - 1, that holds a claim."""
    data = f"{workspace}\0{key}".encode()
    word = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(word, "big") % groups
