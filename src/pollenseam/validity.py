"""Checks of the records in the registry: items, upstreams and evacuations."""

import functools
from typing import Any

import msgspec

from pollenseam import bounds
from pollenseam import errors
from pollenseam import items
from pollenseam import registry

MAX_SLOTS = 1_000_000
# Start of the year 10000 in Unix time.
MAX_UNIX_MS = 253_402_300_800_000
BODY_TYPES = {
    items.ROUTE: items.Route,
    items.WORKSPACE: items.Workspace,
    items.SERVICE: items.Service,
    items.LIMITS: items.Limits,
}


@functools.singledispatch
def check(record: object) -> None:
    """Checks that a record can be used.

    Raises:
        RefusedError: A value of the record is invalid or out of bounds.
    """
    raise TypeError(f"no check for {type(record).__name__}")


@check.register
def _(record: registry.Evacuation) -> None:
    bounds.check_name("failure domain", record.failure_domain)


@check.register
def _(record: registry.Upstream) -> None:
    bounds.check_name("id", record.id)
    bounds.check_number("start", record.started_ms, 0, MAX_UNIX_MS)
    bounds.check_number("sequence", record.sequence, 0)
    if record.state not in (registry.SERVING, registry.LEAVING):
        # The rest repeats what was recorded before, and is not used.
        return
    bounds.check_name("service", record.service)
    bounds.check_name("failure domain", record.failure_domain)
    bounds.check_address("address", record.address)
    bounds.check_number("slots", record.slots, 1, MAX_SLOTS)
    bounds.check("cold time", record.cold_ms)


@check.register
def _(record: items.Item) -> None:
    body_type = BODY_TYPES.get(record.kind)
    if body_type is None or not isinstance(record.body, body_type | None):
        raise errors.refuse(errors.Kind.MALFORMED, "the item has no valid kind")
    if record.kind != items.LIMITS:
        bounds.check_name(f"name of a {record.kind}", record.name)
    what = f"{record.kind} {record.name!r}"
    bounds.check_number(f"{what}: version", record.version, 0)
    bounds.check(what, record.body)
    _check_body(record.body, record.name)


@functools.singledispatch
def _check_body(body: object, name: str) -> None:
    """Checks what is special to a type of item; deletions have no body."""


@_check_body.register
def _(body: items.Route, name: str) -> None:
    items.check_route(name, body)


@_check_body.register
def _(body: items.Workspace, name: str) -> None:
    _check_not_negative(
        f"workspace {name!r}", {"rate": body.rate, "burst": body.burst}
    )


@_check_body.register
def _(body: items.Service | items.Limits, name: str) -> None:
    what = f"{type(body).__name__.lower()} {name!r}"
    _check_not_negative(what, msgspec.structs.asdict(body))


def _check_not_negative(what: str, values: dict[str, Any]) -> None:
    for field, value in values.items():
        if not isinstance(value, str):
            bounds.check_number(f"{what}: {field}", value, 0)


def why_unusable(record: registry.Record) -> str:
    """Returns why a record cannot be used, or "" if it can."""
    try:
        check(record)
    except errors.RefusedError as error:
        return error.refusal.detail
    return ""
