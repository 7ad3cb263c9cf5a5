"""Items: named settings that each carry a version of their own."""

import msgspec

from pollenseam import errors

MAX_TIMEOUT_SECONDS = 600.0


class Split(msgspec.Struct, array_like=True):
    """A service's part of a route's requests, by weight."""

    service: str
    weight: float


class Route(msgspec.Struct, array_like=True, tag="route"):
    """Where requests of one host and path prefix go.

    Attributes:
        host: Host in lower case.
        prefix: Path prefix; begins and ends with a slash.
        is_repeatable: Whether a request may run more than once.
        timeout_seconds: Longest time to the final answer.
        target_seconds: Time within which an answer is worth most.
        priority: 0 goes first.
        splits: Services with their weights.
        max_attempts: Upstreams that one request may be sent to.
        is_open: Whether it needs no key.
        is_sticky: Whether upstreams are faster on objects they know.
        homes: Regions that may serve it; all when empty.
    """

    host: str
    prefix: str
    is_idempotent: bool
    timeout_seconds: float
    target_seconds: float
    priority: int
    splits: list[Split]
    max_attempts: int
    is_open: bool
    is_sticky: bool
    allowed_regions: list[str]


class Workspace(msgspec.Struct, array_like=True, tag="workspace"):
    """Who may send, and how much.

    Attributes:
        keys: Keys that callers show.
        priority: Goes before the route's; None leaves the route's.
        rate: Requests per second over all VMs; 0 means no limit.
        burst: Requests above the rate.
        homes: Regions that may serve it; all when empty.
    """

    keys: list[str]
    priority: int | None
    rate: float
    burst: float
    allowed_regions: list[str]


class Service(msgspec.Struct, array_like=True, tag="service"):
    """A set of upstreams that serve the same requests.

    Attributes:
        health_path: Path of the health check.
        max_connections: Connections that one upstream accepts.
        cold_seconds: How long an upstream stays cold after its start.
        cold_rate: Requests per second that a cold upstream tolerates;
            0 means no limit.
    """

    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float


class Limits(msgspec.Struct, array_like=True, tag="limits"):
    """What a caller may send and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_seconds: float
    idle_timeout_seconds: float


AnyBody = Route | Workspace | Service | Limits


class Item(msgspec.Struct, array_like=True):
    """One item at one version.

    Attributes:
        kind: ROUTE, WORKSPACE, SERVICE or LIMITS.
        name: Name, unique among its kind.
        version: The highest one is in force.
        body: What it says; None when it is deleted.
        document: What the operator sent, as given back on reading.
    """

    kind: str
    name: str
    version: int
    body: AnyBody | None
    document: bytes = b""

    @property
    def identity(self) -> tuple[str, str]:
        """Key under which versions of this item are compared."""
        return self.kind, self.name


ROUTE = "route"
WORKSPACE = "workspace"
SERVICE = "service"
LIMITS = "limits"

Items = dict[tuple[str, str], Item]


def select_newer(current: Items, patch: list[Item]) -> list[Item]:
    """Returns the items of a patch that are newer than what is held.

    Raises:
        RefusedError: An item has other content under the version held.
    """
    newest: Items = {}
    for item in patch:
        before = newest.get(item.identity) or current.get(item.identity)
        if before is None or item.version > before.version:
            newest[item.identity] = item
        elif item.version == before.version and not _has_same_content(
            item, before
        ):
            raise errors.refuse(
                errors.Kind.CONFLICT,
                f"{item.kind} {item.name!r} has other content at "
                f"version {item.version}",
            )
    return list(newest.values())


def _has_same_content(one: Item, other: Item) -> bool:
    return one.body == other.body and one.document == other.document


def validate_patch(current: Items, changed: list[Item]) -> None:
    """Checks what changed items refer to, in the set that would result.

    Raises:
        RefusedError: A reference is missing, a key or a place is taken.
    """
    merged = current | {item.identity: item for item in changed}
    dropped = {
        item.name
        for item in changed
        if item.kind == SERVICE and item.body is None
    }
    touched = {item.identity for item in changed}
    for item in merged.values():
        if isinstance(item.body, Route):
            names = {split.service for split in item.body.splits}
            if item.identity in touched or names & dropped:
                _check_services(merged, item.name, names)
    _check_keys(merged, touched)
    _check_route_paths(merged, touched)


def _check_services(merged: Items, route: str, names: set[str]) -> None:
    for name in names:
        service = merged.get((SERVICE, name))
        if service is None or service.body is None:
            raise errors.refuse(
                errors.Kind.MALFORMED,
                f"route {route!r} names the unknown service {name!r}",
            )


def _check_keys(merged: Items, touched: set[tuple[str, str]]) -> None:
    owners: dict[str, Item] = {}
    for item in merged.values():
        if not isinstance(item.body, Workspace):
            continue
        for key in item.body.keys:
            other = owners.setdefault(key, item)
            if other is not item and {other.identity, item.identity} & touched:
                raise errors.refuse(
                    errors.Kind.MALFORMED,
                    f"workspaces {other.name!r} and {item.name!r} share a key",
                )


def _check_route_paths(merged: Items, touched: set[tuple[str, str]]) -> None:
    owners: dict[tuple[str, str], Item] = {}
    for item in merged.values():
        if not isinstance(item.body, Route):
            continue
        place = (item.body.host, item.body.prefix)
        other = owners.setdefault(place, item)
        if other is not item and {other.identity, item.identity} & touched:
            raise errors.refuse(
                errors.Kind.MALFORMED,
                f"routes {other.name!r} and {item.name!r} take the same path",
            )


def check_route(name: str, route: Route) -> None:
    """Checks what a route says by itself.

    Raises:
        RefusedError: It says something that cannot be carried out.
    """
    problem = ""
    if not 0 < route.timeout_seconds <= MAX_TIMEOUT_SECONDS:
        problem = f"timeout {route.timeout_seconds:g} s"
    elif any(split.weight < 0 for split in route.splits):
        problem = "a weight below 0"
    elif sum(split.weight for split in route.splits) <= 0:
        problem = "no service with a weight"
    elif not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        problem = f"prefix {route.prefix!r}"
    elif route.max_attempts < 1:
        problem = f"{route.max_attempts} attempts"
    if problem:
        raise errors.refuse(errors.Kind.MALFORMED, f"route {name!r}: {problem}")
