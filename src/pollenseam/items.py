"""Items: configuration objects that are versioned one by one."""

import msgspec

from pollenseam import errors

MAX_TIMEOUT_SECONDS = 600.0


class Split(msgspec.Struct, array_like=True):
    """The weight of one service among the services of a route."""

    service: str
    weight: float


class Route(msgspec.Struct, array_like=True, tag="route"):
    """Routing of the requests of one host and path prefix.

    Attributes:
        host: Host in lower case.
        prefix: Path prefix; begins and ends with a slash.
        is_idempotent: Whether a request may run more than once.
        timeout_seconds: Time limit for the final answer.
        target_seconds: Time within which the final answer is worth most to
            the caller.
        priority: Priority of the requests; 0 is the highest.
        splits: Services with their weights.
        max_attempts: Maximum number of attempts of a request that upstreams
            may have executed.
        is_open: Whether callers need no key.
        is_sticky: Whether upstreams answer faster for objects that they have
            in their caches.
        allowed_regions: Regions that may serve the requests; empty for all.
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
    """The keys and limits of a workspace.

    Attributes:
        keys: Keys that callers of the workspace send.
        priority: Overrides the priority of routes; None keeps it.
        rate: Limit in requests per second over all VMs; 0 means no limit.
        burst: Requests that may exceed the rate for a short time.
        allowed_regions: Regions that may serve the workspace; empty for all.
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
    """Limits on the size of requests and on the time to receive them.

    Attributes:
        max_header_bytes: Maximum size of the header section.
        max_body_bytes: Maximum size of the body.
        header_timeout_seconds: Time limit for receiving the header section.
        idle_timeout_seconds: Time after which an idle connection is closed.
    """

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
        version: Version; the highest version of an item is effective.
        body: Content; None if this version deletes the item.
        document: Document that the operator sent, returned on reading.
    """

    kind: str
    name: str
    version: int
    body: AnyBody | None
    document: bytes = b""

    @property
    def identity(self) -> tuple[str, str]:
        """Kind and name, which all versions of the item share."""
        return self.kind, self.name


ROUTE = "route"
WORKSPACE = "workspace"
SERVICE = "service"
LIMITS = "limits"

Items = dict[tuple[str, str], Item]


def select_newer(current: Items, patch: list[Item]) -> list[Item]:
    """Returns the items of a patch that are newer than the current ones.

    Raises:
        RefusedError: An item has the version of the current one, but other
            content.
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
                f"{item.kind} {item.name!r} already has other content at "
                f"version {item.version}",
            )
    return list(newest.values())


def _has_same_content(one: Item, other: Item) -> bool:
    return one.body == other.body and one.document == other.document


def validate_patch(current: Items, changed: list[Item]) -> None:
    """Checks changed items together with the current ones.

    Args:
        current: Current items.
        changed: Items that are to replace current ones.

    Raises:
        RefusedError: A route refers to an unknown service, two workspaces
            have the same key, or two routes have the same host and prefix.
    """
    merged = current | {item.identity: item for item in changed}
    deleted_services = {
        item.name
        for item in changed
        if item.kind == SERVICE and item.body is None
    }
    changed_ids = {item.identity for item in changed}
    for item in merged.values():
        if isinstance(item.body, Route):
            names = {split.service for split in item.body.splits}
            if item.identity in changed_ids or names & deleted_services:
                _check_services(merged, item.name, names)
    _check_keys(merged, changed_ids)
    _check_route_paths(merged, changed_ids)


def _check_services(merged: Items, route: str, names: set[str]) -> None:
    for name in names:
        service = merged.get((SERVICE, name))
        if service is None or service.body is None:
            raise errors.refuse(
                errors.Kind.MALFORMED,
                f"route {route!r} refers to the unknown service {name!r}",
            )


def _check_keys(merged: Items, changed_ids: set[tuple[str, str]]) -> None:
    owners: dict[str, Item] = {}
    for item in merged.values():
        if not isinstance(item.body, Workspace):
            continue
        for key in item.body.keys:
            other = owners.setdefault(key, item)
            if (
                other is not item
                and {other.identity, item.identity} & changed_ids
            ):
                raise errors.refuse(
                    errors.Kind.MALFORMED,
                    f"workspaces {other.name!r} and {item.name!r} share a key",
                )


def _check_route_paths(
    merged: Items, changed_ids: set[tuple[str, str]]
) -> None:
    owners: dict[tuple[str, str], Item] = {}
    for item in merged.values():
        if not isinstance(item.body, Route):
            continue
        host_and_prefix = (item.body.host, item.body.prefix)
        other = owners.setdefault(host_and_prefix, item)
        if other is not item and {other.identity, item.identity} & changed_ids:
            raise errors.refuse(
                errors.Kind.MALFORMED,
                f"routes {other.name!r} and {item.name!r} share a path",
            )


def check_route(name: str, route: Route) -> None:
    """Checks the values of one route.

    Args:
        name: Name of the route, for the message.
        route: The route.

    Raises:
        RefusedError: A value is invalid.
    """
    problem = ""
    if not 0 < route.timeout_seconds <= MAX_TIMEOUT_SECONDS:
        problem = f"invalid timeout of {route.timeout_seconds:g} s"
    elif any(split.weight < 0 for split in route.splits):
        problem = "a weight is negative"
    elif sum(split.weight for split in route.splits) <= 0:
        problem = "no service has a weight above 0"
    elif not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        problem = f"prefix {route.prefix!r} does not begin and end with a slash"
    elif route.max_attempts < 1:
        problem = f"max_attempts is {route.max_attempts}, below 1"
    if problem:
        raise errors.refuse(errors.Kind.MALFORMED, f"route {name!r}: {problem}")
