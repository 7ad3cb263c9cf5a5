"""Which members of the quorum were replaced, and may be taken out of it."""

from pollenseam import messages

# A member that is unreachable this long is removed; a voter only once another
# voter replaces it.
SILENCE_SECONDS = 3.0
# The same for voters while those that answer bear fewer lost disks than are
# tolerated. A new leader begins to count at its election, and both have to be
# over before the next loss, see docs/design/control.md.
URGENT_SILENCE_SECONDS = 1.5

# Why a voter that is unreachable stays in the quorum.
NO_SUCCESSOR = "no-successor"
DOMAIN_UNKNOWN = "failure-domain-unknown"
TOO_FEW_LEFT = "too-few-left"


def silent_learners(
    members: messages.Members, answered_at: dict[str, float], now: float
) -> list[str]:
    """Returns the ids of learners that no VM seems to run.

    Those are unreachable for SILENCE_SECONDS. A replica that still runs asks to
    be added again.

    Args:
        members: The configuration.
        answered_at: Time of the last answer of each other replica, by id.
        now: Current time in seconds, on the clock of `answered_at`.
    """
    return [
        id
        for id in members.learners
        if now - answered_at.get(id, now) >= SILENCE_SECONDS
    ]


def kept_voters(
    members: messages.Members,
    answered_at: dict[str, float],
    now: float,
    tolerated_losses: int | None,
) -> dict[str, str]:
    """Returns why each unreachable voter stays, by id; "" if it was replaced.

    Args:
        members: The configuration.
        answered_at: Time of the last answer of each other replica, by id. The
            caller's own replica is not included.
        now: Current time in seconds, on the clock of `answered_at`.
        tolerated_losses: How many replicas at a time may lose their disks, or
            None if that is not stated.
    """
    silent = _silent_voters(members, answered_at, now, tolerated_losses)
    return {
        id: _why_kept(id, members, silent, tolerated_losses) for id in silent
    }


def _silent_voters(
    members: messages.Members,
    answered_at: dict[str, float],
    now: float,
    tolerated_losses: int | None,
) -> list[str]:
    """Returns the ids of voters that count as unreachable.

    That takes SILENCE_SECONDS, or URGENT_SILENCE_SECONDS while those that
    answer bear fewer lost disks than are tolerated.
    """
    silent_seconds = {
        id: now - answered_at.get(id, now) for id in members.voters
    }
    urgent = [
        id
        for id, seconds in silent_seconds.items()
        if seconds >= URGENT_SILENCE_SECONDS
    ]
    if tolerated_losses is not None:
        borne_losses = _borne_losses(len(members.voters)) - len(urgent)
        if borne_losses < tolerated_losses:
            return urgent
    return [id for id in urgent if silent_seconds[id] >= SILENCE_SECONDS]


def _why_kept(
    id: str,
    members: messages.Members,
    silent: list[str],
    tolerated_losses: int | None,
) -> str:
    """Returns why an unreachable voter stays, or "" if it was replaced.

    A voter counts as replaced if another reachable voter has the same address.
    So it does if another one has the same failure domain and the voters that
    are left bear as many lost disks as before, or as many as are tolerated: the
    voter may only be slow, frozen or cut off, and its disk could be needed.
    Without a known failure domain, only the number that is tolerated counts.
    """
    failure_domains = members.failure_domains
    others = [v for v in members.voters if v not in silent]
    if any(members.voters[v] == members.voters[id] for v in others):
        return ""
    count = len(members.voters)
    borne_losses = _borne_losses(count - 1)
    are_enough = (
        tolerated_losses is not None and borne_losses >= tolerated_losses
    )
    domain = failure_domains.get(id)
    if not domain:
        return "" if are_enough else DOMAIN_UNKNOWN
    if all(failure_domains.get(v) != domain for v in others):
        return NO_SUCCESSOR
    if are_enough or borne_losses == _borne_losses(count):
        return ""
    return TOO_FEW_LEFT


def _borne_losses(voters: int) -> int:
    """Returns how many of the voters may be lost while a majority is left."""
    return (voters - 1) // 2
