"""Records in a call what a helper answered, as if this VM had sent it."""

from pollenseam import calls
from pollenseam import errors
from pollenseam import relaymessages
from pollenseam import statuses


def apply(
    active_call: calls.ActiveCall,
    response: relaymessages.RelayResponse | None,
) -> calls.Reply | None:
    """Records a helper's response in a call, as if this VM had sent it.

    Args:
        active_call: The call.
        response: The response, or None if the outcome is unknown.

    Returns:
        The reply if it is final; None if the call may be sent again.

    Raises:
        RefusedError: The call was refused.
    """
    if response is None:
        _record_unknown(active_call, "another VM gave no answer")
        return None
    if response.upstream:
        active_call.tried.add(response.upstream)
        active_call.received_by.add(response.upstream)
    if response.reply is not None:
        active_call.deliveries += 1
        active_call.executions += 1
        reply = relaymessages.to_reply(response.reply)
        if not statuses.is_final(reply.status):
            active_call.refusal = errors.Refusal(
                errors.Kind.UPSTREAM_FAILED,
                "another VM gave an answer with an invalid status",
                "unknown",
            )
            return None
        if reply.status < 500:
            return reply
        active_call.reply = reply
        return None
    _apply_refusal(active_call, response)
    return None


def _apply_refusal(
    active_call: calls.ActiveCall, response: relaymessages.RelayResponse
) -> None:
    if response.refusal is None:
        _record_unknown(active_call, "another VM gave no valid answer")
        return
    refusal = relaymessages.to_refusal(response.refusal)
    active_call.is_risky |= response.is_risky
    if response.executions:
        active_call.deliveries += 1
        active_call.executions += 1
        active_call.refusal = refusal
        if refusal.kind == errors.Kind.DEADLINE:
            raise errors.RefusedError(refusal)
        return
    if not active_call.executions:
        active_call.refusal = refusal
    if not response.upstream:
        raise errors.RefusedError(active_call.refusal or refusal)
    active_call.deliveries += 1


def _record_unknown(active_call: calls.ActiveCall, why: str) -> None:
    """Records that an upstream may have executed a call."""
    active_call.deliveries += 1
    active_call.executions += 1
    active_call.refusal = errors.Refusal(
        errors.Kind.UPSTREAM_FAILED, why, "unknown"
    )
