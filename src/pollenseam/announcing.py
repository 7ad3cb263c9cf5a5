"""Validates announcements of upstreams and adds them to the membership."""

from typing import Annotated
from typing import Literal

import msgspec

from pollenseam import bounds
from pollenseam import catalog
from pollenseam import errors
from pollenseam import keys
from pollenseam import members
from pollenseam import messages
from pollenseam import vm

MAX_SLOTS = 100_000
MAX_LOAD = 1e9
MAX_BODY_BYTES = 4096


class Announcement(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of an announcement; see the upstreams' page of the docs."""

    service: str
    upstream: Annotated[str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9.-]{0,62}$")]
    address: str
    region: str
    failure_domain: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    incarnation: Annotated[int, msgspec.Meta(ge=0, le=2**62)]
    state: Literal["starting", "serving", "leaving", "gone"]
    ttl_ms: Annotated[int, msgspec.Meta(ge=100, le=members.MAX_TTL_MS)]
    connections: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = 1
    load: Annotated[float, msgspec.Meta(ge=0, le=MAX_LOAD)] = 0.0


def parse(body: bytes) -> Announcement:
    """Returns the announcement in a request body.

    Raises:
        RefusedError: The body is too large or malformed, or the address is
            not that of one host.
    """
    if len(body) > MAX_BODY_BYTES:
        raise errors.refuse(
            errors.Kind.BODY_TOO_LARGE, f"at most {MAX_BODY_BYTES} bytes"
        )
    announcement = bounds.decode_json(body, Announcement)
    bounds.check("announcement", announcement)
    bounds.check_address("address", announcement.address, allows_ipv6=True)
    return announcement


def accept(
    local_vm: vm.Vm, presented_key: str | None, announcement: Announcement
) -> int:
    """Adds an announcement to the membership.

    Args:
        local_vm: This VM.
        presented_key: The key that the upstream sent, or None.
        announcement: The announcement of the upstream.

    Returns:
        Milliseconds until the upstream should announce again.

    Raises:
        RefusedError: The service or key is unknown, the key is for another
            service, the upstream is in another region or failure domain, this
            VM's settings are not fresh, a later announcement is recorded, or
            the directory is full.
    """
    service = local_vm.catalog.services_by_name.get(announcement.service)
    key = check_key(local_vm, presented_key)
    if service is None:
        raise errors.refuse(
            errors.Kind.NO_ROUTE, f"no service {announcement.service!r}"
        )
    if key.owner != service.path:
        raise errors.refuse(
            errors.Kind.FORBIDDEN, f"the key does not announce {service.path}"
        )
    _check_location(local_vm, announcement)
    known = local_vm.directory.upstreams.get(
        (service.path, announcement.upstream)
    )
    if not local_vm.is_fresh():
        _check_renewal(known, announcement)
    record = _make_record(service, announcement, known)
    if not local_vm.directory.announce(record, local_vm.now()):
        raise errors.refuse(
            errors.Kind.CONFLICT, "a later announcement is known"
        )
    if known is None or known.record.state != announcement.state:
        local_vm.log.emit(
            "upstream-announced",
            service=service.path,
            upstream=announcement.upstream,
            state=announcement.state,
            incarnation=announcement.incarnation,
        )
    return announcement.ttl_ms // 3


def check_key(local_vm: vm.Vm, presented_key: str | None) -> catalog.Key:
    """Returns the record of the key that a caller or upstream sent.

    Raises:
        RefusedError: The key is missing or unknown.
    """
    if presented_key is None:
        raise errors.refuse(
            errors.Kind.KEY_MISSING, "send the key as Authorization: Bearer KEY"
        )
    secret = keys.parse(presented_key)
    known = local_vm.catalog.keys.get(secret.id) if secret is not None else None
    if known is None or not keys.matches(presented_key, known.digest):
        raise errors.refuse(errors.Kind.KEY_UNKNOWN, "the key is not known")
    return known


def _check_location(local_vm: vm.Vm, announcement: Announcement) -> None:
    location = (announcement.region, announcement.failure_domain)
    if location != (local_vm.flags.region, local_vm.flags.failure_domain):
        raise errors.refuse(
            errors.Kind.FORBIDDEN,
            f"announce to a VM of {announcement.failure_domain}; this one "
            f"is in {local_vm.flags.region}, {local_vm.flags.failure_domain}",
        )


def _check_renewal(
    known: members.KnownUpstream | None, announcement: Announcement
) -> None:
    # Settings that are not fresh may include a withdrawn key. Such a key may
    # renew an existing upstream, which open routes may use, or remove it, but
    # must not add a new one.
    if announcement.state in ("leaving", "gone"):
        return
    same = known is not None and (
        known.record.incarnation == announcement.incarnation
        and known.record.address == announcement.address
    )
    if not same:
        raise errors.refuse(
            errors.Kind.NOT_FRESH, "this VM's settings are not fresh"
        )


def _make_record(
    service: catalog.Service,
    announcement: Announcement,
    known: members.KnownUpstream | None,
) -> messages.Upstream:
    heartbeat_count = 1
    same = known is not None and (
        known.record.incarnation == announcement.incarnation
    )
    if known is not None and same:
        heartbeat_count = known.record.heartbeat_count + 1
    return messages.Upstream(
        service.path,
        announcement.upstream,
        announcement.incarnation,
        heartbeat_count,
        announcement.state,
        announcement.address,
        announcement.region,
        announcement.failure_domain,
        announcement.slots,
        announcement.connections,
        announcement.load,
        announcement.ttl_ms,
    )
