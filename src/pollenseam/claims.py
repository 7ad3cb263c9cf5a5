"""Ledger of at-most-once requests: their claims and stored answers."""

import collections
import hashlib

import msgspec

from pollenseam import bounds
from pollenseam import commands
from pollenseam import errors

MAX_KEY_CHARACTERS = 256
MAX_CLAIMS_PER_WORKSPACE = 100_000


class Claim(msgspec.Struct, array_like=True):
    """The record of one at-most-once request.

    Attributes:
        body_digest: Digest of the request that opened the claim.
        attempt: Name of the attempt that may send the request.
        unknown_at_ms: State clock in ms from which the outcome of a claim
            without an answer is unknown.
        expires_at_ms: State clock in ms from which the claim is removed.
        answer: The upstream's answer, or None before it is stored.
    """

    body_digest: str
    attempt: str
    unknown_at_ms: int
    expires_at_ms: int
    answer: commands.StoredAnswer | None = None


class Ledger:
    """Claims by workspace and idempotency key.

    The state clock moves only while a leader runs, so a claim is kept for at
    least its retention in real time.

    Attributes:
        claims: Claims by workspace and key, the oldest first.
        counts: Number of claims by workspace.
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
        """Opens a claim, or returns the outcome of an earlier one of the key.

        Args:
            command: The claim to open.
            clock_ms: State clock in ms.
            retention_ms: Time for which a new claim is kept, in ms.
        """
        self.expire(clock_ms)
        name = (command.workspace, command.key)
        claim = self.claims.get(name)
        if claim is not None:
            return _resolve_repeat(claim, command, clock_ms)
        if self.counts[command.workspace] >= MAX_CLAIMS_PER_WORKSPACE:
            detail = "the workspace has reached the limit of stored claims"
            return commands.Outcome(errors.Kind.NO_ROOM, detail)
        expires_at_ms = clock_ms + max(retention_ms, 2 * command.timeout_ms)
        # Earlier versions stored retentions that end beyond 64 bits.
        self.claims[name] = Claim(
            command.body_digest,
            command.attempt,
            min(clock_ms + command.timeout_ms, bounds.MAX_INTEGER),
            min(expires_at_ms, bounds.MAX_INTEGER),
        )
        self.counts[command.workspace] += 1
        return commands.Outcome(granted=True)

    def close(self, command: commands.CloseClaim) -> commands.Outcome:
        """Stores the answer to the attempt that opened the claim."""
        claim = self.claims.get((command.workspace, command.key))
        if claim is None or claim.attempt != command.attempt:
            detail = "the claim does not belong to this attempt"
            return commands.Outcome(errors.Kind.CONFLICT, detail)
        claim.answer = command.answer
        return commands.Outcome()

    def release(self, command: commands.ReleaseClaim) -> commands.Outcome:
        """Removes a claim whose request certainly did not run."""
        name = (command.workspace, command.key)
        claim = self.claims.get(name)
        if claim is None or claim.attempt != command.attempt or claim.answer:
            detail = "the claim does not belong to this attempt"
            return commands.Outcome(errors.Kind.CONFLICT, detail)
        self._remove(name)
        return commands.Outcome()

    def expire(self, clock_ms: int) -> None:
        """Removes claims whose retention has ended, the oldest first."""
        while self.claims:
            name, claim = next(iter(self.claims.items()))
            if claim.expires_at_ms > clock_ms:
                return
            self._remove(name)

    def _remove(self, name: tuple[str, str]) -> None:
        del self.claims[name]
        self.counts[name[0]] -= 1


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
        detail = (
            "the first send got no answer; it may have run "
            "and is not sent again"
        )
        return commands.Outcome(errors.Kind.OUTCOME_UNKNOWN, detail)
    detail = "the first send is still running"
    return commands.Outcome(errors.Kind.IN_PROGRESS, detail)


def quorum_group(workspace: str, key: str, groups: int) -> int:
    """Returns the quorum group, 0 to `groups` - 1, that stores a claim."""
    data = f"{workspace}\0{key}".encode()
    word = hashlib.blake2b(data, digest_size=8).digest()
    return int.from_bytes(word, "big") % groups
