"""Requests of a workspace that asks for far more than its rate; no I/O.

They are refused at once instead of waiting for a token that others ahead of
them will get, and their callers come back spread in time.
"""

from pollenseam import buckets

# Waiting requests of a workspace that are always permitted.
MIN_QUEUE = 4.0
# Waiting requests, relative to the tokens that the share yields while they
# wait. The lender's pool may yield as many again.
QUEUE_RATIO = 2.0
# Demand relative to the share from which a workspace is far over its rate.
FAR_OVER_RATIO = 2.0
# Time over which callers return, for each time that the share is asked for.
SPAN_SECONDS = 1.0
MAX_SPAN_SECONDS = 4.0


def is_hopeless(
    account: buckets.Account, wait_seconds: float, now: float
) -> bool:
    """Returns whether a request would wait for a token in vain.

    Only what a lender has just stated counts: while none answers, or its pool
    has tokens, nobody knows how many there will be.

    Args:
        account: The workspace's account at this VM.
        wait_seconds: Time for which a request waits.
        now: Time in seconds.
    """
    if not _is_scarce(account, now):
        return False
    yielded = account.bucket.held(now).rate * wait_seconds
    return account.waiting >= max(MIN_QUEUE, QUEUE_RATIO * yielded)


def spread_seconds(
    account: buckets.Account, position: float, now: float
) -> float:
    """Returns by how much later a refused caller should come back.

    Args:
        account: The workspace's account at this VM.
        position: Position of the caller in the span, at random from 0 to 1.
        now: Time in seconds.
    """
    share = account.bucket.held(now).rate
    demand = account.demand.rate
    if not _is_scarce(account, now) or demand <= FAR_OVER_RATIO * share:
        return 0.0
    times = demand / share if share > 0 else demand
    return position * min(MAX_SPAN_SECONDS, SPAN_SECONDS * times)


def _is_scarce(account: buckets.Account, now: float) -> bool:
    is_answered = now < account.updated_at + buckets.LENDER_TIMEOUT_SECONDS
    return (
        is_answered
        and account.is_current(now)
        and now >= account.overdraft_until
    )
