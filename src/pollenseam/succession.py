"""What the record of an upstream must prove before it replaces another one."""

from collections.abc import Callable

from pollenseam import errors
from pollenseam import registry
from pollenseam import waitingrecords

IN_USE = (registry.SERVING, registry.LEAVING)


def why_refused(
    record: registry.Upstream,
    known: registry.Registry,
    is_announcing: Callable[[str], bool],
) -> errors.Refusal | None:
    """Returns why the leader does not append a record, or None if it does.

    Only the leader decides: it knows who goes on announcing, which is no part
    of the log. The state machine applies each record that is in the log, so
    that replicas of all builds agree.

    A start of an upstream keeps its service and its address. A start that is
    not known needs a known service, and an address at which no other upstream
    goes on announcing. A stop of a start that is not known does not end a
    start that goes on announcing.

    Args:
        record: What an upstream, or a notice of its stop, says.
        known: The registry that the leader has applied.
        is_announcing: Returns whether an upstream has announced itself lately,
            by its id.
    """
    if record.state == registry.EXPIRED:
        return None
    current = known.upstreams.get(record.id)
    if current is not None and current.started_ms >= record.started_ms:
        return _why_no_update(record, current)
    if record.state == registry.STOPPED:
        if current is not None and _goes_on(current, is_announcing):
            return _conflict(f"another start of {record.id!r} goes on")
        return None
    if not waitingrecords.has_service(known, record.service):
        return errors.Refusal(
            errors.Kind.NO_ROUTE, f"no service {record.service!r}"
        )
    for other in known.upstreams.values():
        if (
            other.address == record.address
            and other.id != record.id
            and _goes_on(other, is_announcing)
        ):
            return _conflict(
                f"{other.id!r} goes on announcing itself at {record.address}"
            )
    return None


def why_unused(
    record: registry.Upstream, known: registry.Registry
) -> errors.Refusal | None:
    """Returns why a record that is no update is not even a heartbeat.

    That an upstream leaves is true of one that has stopped, too.

    Args:
        record: What an upstream says.
        known: The registry that this replica has applied.
    """
    current = known.upstreams.get(record.id)
    if current is None or current.started_ms < record.started_ms:
        return _conflict(f"a later upstream is at {record.address}")
    if current.started_ms > record.started_ms:
        return _conflict(f"a later start of {record.id!r} is known")
    if current.state == registry.STOPPED:
        is_leaving = record.state == registry.LEAVING
        return None if is_leaving else _conflict(f"{record.id!r} has stopped")
    return _why_no_update(record, current)


def _why_no_update(
    record: registry.Upstream, current: registry.Upstream
) -> errors.Refusal | None:
    is_same_start = record.started_ms == current.started_ms
    if not is_same_start or registry.STOPPED in (record.state, current.state):
        return None
    if (record.service, record.address) == (current.service, current.address):
        return None
    return _conflict(
        f"this start of {record.id!r} is at {current.address} and serves "
        f"{current.service!r}"
    )


def _goes_on(
    record: registry.Upstream, is_announcing: Callable[[str], bool]
) -> bool:
    return record.state in IN_USE and is_announcing(record.id)


def _conflict(detail: str) -> errors.Refusal:
    return errors.Refusal(errors.Kind.CONFLICT, detail)
