"""Checks of the records that gossip brings, before they are merged.

Gossip passes a record on to all VMs, so one that cannot be worked with would
reach them all. Full exchanges have many records: the checks are short.
"""

import functools
from collections.abc import Sequence
from typing import TypeVar

from pollenseam import bounds
from pollenseam import lifecycles
from pollenseam import messages

# Counts and incarnations above this are not reached by counting or by clocks.
MAX_COUNT = 2**62
MAX_LOAD = 1e9

_UPSTREAM_STATES = frozenset(lifecycles.UpstreamState)
_VM_STATES = frozenset(lifecycles.VmState)

_R = TypeVar("_R")


@functools.singledispatch
def is_usable(record: object) -> bool:
    """Returns whether a record can be merged and passed on."""
    raise TypeError(f"no check for {type(record).__name__}")


@is_usable.register
def _(record: messages.Vm | messages.VmHeartbeat) -> bool:
    return (
        _is_counted(record)
        and abs(record.settings_age_ms) <= MAX_COUNT
        and 0 <= record.settings_index <= MAX_COUNT
        and 0 <= record.load <= MAX_LOAD
        and getattr(record, "state", lifecycles.VmState.SERVING) in _VM_STATES
    )


@is_usable.register
def _(record: messages.Upstream) -> bool:
    return (
        _is_counted(record)
        and record.state in _UPSTREAM_STATES
        and 1 <= record.slots <= MAX_COUNT
        and 1 <= record.connections <= MAX_COUNT
        and 0 <= record.load <= MAX_LOAD
        and 0 <= record.ttl_ms <= MAX_COUNT
        and bounds.is_address(record.address, allows_ipv6=True)
    )


@is_usable.register
def _(record: messages.UpstreamHeartbeat) -> bool:
    return (
        _is_counted(record)
        and 0 <= record.left_ms <= MAX_COUNT
        and 0 <= record.load <= MAX_LOAD
    )


def _is_counted(
    record: (
        messages.Vm
        | messages.VmHeartbeat
        | messages.Upstream
        | messages.UpstreamHeartbeat
    ),
) -> bool:
    return (
        0 <= record.incarnation <= MAX_COUNT
        and 0 <= record.heartbeat_count <= MAX_COUNT
    )


def drop_unusable(gossip: messages.Gossip) -> list[str]:
    """Removes records that cannot be used; returns the names in them."""
    dropped: list[str] = []
    gossip.vms = _usable(gossip.vms, dropped)
    gossip.vm_heartbeats = _usable(gossip.vm_heartbeats, dropped)
    gossip.upstreams = _usable(gossip.upstreams, dropped)
    for group in gossip.upstream_heartbeats:
        group.heartbeats = _usable(group.heartbeats, dropped)
    return dropped


def _usable(records: Sequence[_R], dropped: list[str]) -> list[_R]:
    usable: list[_R] = []
    for record in records:
        if is_usable(record):
            usable.append(record)
        else:
            dropped.append(getattr(record, "name", ""))
    return usable
