"""The nodes of the settings tree: their types, paths and validation."""

import ipaddress
import re
from collections.abc import Mapping
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec
import result

from pollenseam import bounds
from pollenseam import errors

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
MAX_PATH_CHARACTERS = 400

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
ErrorStatus = Annotated[int, msgspec.Meta(ge=400, le=599)]


class Node(msgspec.Struct, forbid_unknown_fields=True, tag=True):
    """Base of every node.

    The tag of a subclass identifies the type in stored data and on the wire.
    """


class Defaults(msgspec.Struct, forbid_unknown_fields=True):
    """Values for all services below a node.

    Values of a node lower in the tree override those of the nodes above.

    Attributes:
        timeout_ms: Time limit of a request, in milliseconds.
        queue_ms: Longest wait for a slot or a token, in milliseconds.
        max_body_bytes: Maximum size of a request body.
        retry_ratio: Maximum ratio of retries to requests.
    """

    timeout_ms: Milliseconds | None = None
    queue_ms: Milliseconds | None = None
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0)] | None = None
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None


class Region(msgspec.Struct, forbid_unknown_fields=True):
    """A region and the failure domains in it.

    Attributes:
        failure_domains: Names of its failure domains.
        accept_rate: Limit in requests per second from other regions.
        client_blocks: CIDR blocks of the clients nearest to the region.
    """

    failure_domains: list[str]
    accept_rate: NonNegative = 0.0
    client_blocks: list[str] = []


class Link(msgspec.Struct, forbid_unknown_fields=True):
    """The shared link between two regions.

    Attributes:
        between: Names of the two regions.
        mbit: Capacity in Mbit/s in each direction.
        latency_ms: Latency in milliseconds.
    """

    between: Annotated[list[str], msgspec.Meta(min_length=2, max_length=2)]
    mbit: Positive
    latency_ms: NonNegative = 0.0


class Fleet(Node, tag="fleet"):
    """Settings of the whole fleet.

    Attributes:
        regions: Regions by name.
        links: Links between regions.
        freshness_ms: Age of the settings, in milliseconds, from which an
            entry VM refuses requests that need a key.
        lookup_max_age_ms: Time for which callers may cache a look-up, in
            milliseconds.
        claim_retention_ms: Time for which an at-most-once claim is kept, in
            milliseconds.
        defaults: Default values of all services.
    """

    regions: dict[str, Region] = {}
    links: list[Link] = []
    freshness_ms: Annotated[int, msgspec.Meta(ge=1000, le=60_000)] = 5000
    lookup_max_age_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 5000
    claim_retention_ms: Annotated[int, msgspec.Meta(ge=60_000)] = 3_600_000
    defaults: Defaults = msgspec.field(default_factory=Defaults)


class Team(Node, tag="team"):
    """A team, with default values of its services."""

    defaults: Defaults = msgspec.field(default_factory=Defaults)


class Route(msgspec.Struct, forbid_unknown_fields=True):
    """Host and path prefix of requests that a service receives.

    Attributes:
        host: Host name without port.
        prefix: Path prefix; of several that match, the longest one is used.
        access: "keyed" to check the caller's key, "open" to accept everyone.
        at_most_once: Whether requests run at most once: with "optional", those
            that have an idempotency key; with "required", all, and the key
            is required.
        timeout_ms: Overrides the timeout of the service.
    """

    host: str
    prefix: Annotated[str, msgspec.Meta(pattern="^/")] = "/"
    access: Literal["keyed", "open"] = "keyed"
    at_most_once: Literal["no", "optional", "required"] = "no"
    timeout_ms: Milliseconds | None = None


class Shed(msgspec.Struct, forbid_unknown_fields=True):
    """The answer by which an upstream declares that it did not run a request.

    Attributes:
        status: HTTP status of the answer.
        header: Name of a header that the answer must have.
    """

    status: ErrorStatus = 503
    header: str = "Pollenseam-Shed"


class Service(Node, tag="service"):
    """A service of a team.

    Attributes:
        routes: Routes that lead to the service.
        workspaces: Workspaces that may use the service; empty for all of the
            team.
        shed: The answer that means that a request did not run.
        defaults: Values that override those of the team.
    """

    routes: Annotated[list[Route], msgspec.Meta(min_length=1)]
    workspaces: list[str] = []
    shed: Shed = msgspec.field(default_factory=Shed)
    defaults: Defaults = msgspec.field(default_factory=Defaults)


class Workspace(Node, tag="workspace"):
    """The limits of a workspace.

    Attributes:
        rate: Limit in requests per second over the whole fleet.
        burst: Requests that may exceed the rate for a short time, over the
            whole fleet.
        weight: Weight relative to other workspaces when capacity is scarce.
    """

    rate: Positive
    burst: Annotated[float, msgspec.Meta(ge=1)]
    weight: Positive = 1.0


class Shift(Node, tag="shift"):
    """A planned move of a service's traffic between two regions.

    Attributes:
        service: Name of a service of the same team.
        source: Region that the traffic leaves; `from` in files.
        target: Region that the traffic goes to; `to` in files.
        cap: Limit on moved requests per second over the whole fleet.
        ramp_ms: Time from the start until the cap is reached, in
            milliseconds.
        state: Whether traffic is moved; set by `shift start` and `shift stop`.
        started_ms: State clock, in milliseconds, at which the shift was last
            started or stopped.
    """

    service: str
    source: str = msgspec.field(name="from")
    target: str = msgspec.field(name="to")
    cap: Annotated[float, msgspec.Meta(ge=2)]
    ramp_ms: Annotated[int, msgspec.Meta(ge=0, le=86_400_000)] = 60_000
    state: Literal["planned", "running", "stopped"] = "planned"
    started_ms: int = 0


class Key(Node, tag="key"):
    """The digest of a key that gives access to the node above this one."""

    digest: str


class Operator(Node, tag="operator"):
    """An operator: the digest of the token and the subtree that it owns."""

    digest: str
    subtree: str


AnyNode = Fleet | Team | Service | Workspace | Shift | Key | Operator

# Fields that are set by commands and refused in settings files.
COMMAND_FIELDS: Mapping[type[Node], tuple[str, ...]] = {
    Shift: ("state", "started_ms"),
}

COLLECTIONS: Mapping[str, type[Node]] = {
    "services": Service,
    "workspaces": Workspace,
    "shifts": Shift,
}


class Problem(msgspec.Struct):
    """An error in a settings file, with the path of the wrong setting."""

    path: str
    reason: str


Nodes = dict[str, AnyNode]


def is_within(path: str, subtree: str) -> bool:
    """Returns whether `path` is `subtree` or lies below it."""
    return subtree == "/" or path == subtree or path.startswith(subtree + "/")


def parse(
    document: Mapping[str, Any], at: str = "/"
) -> result.Result[Nodes, list[Problem]]:
    """Converts a TOML document to nodes by path.

    Args:
        document: Decoded TOML.
        at: Path of the root of the document: "/", "/fleet", "/teams" or a
            path below "/teams".

    Returns:
        All nodes of the document, or all errors that were found in it.
    """
    nodes: Nodes = {}
    problems: list[Problem] = []
    _parse_table(at.rstrip("/"), document, nodes, problems)
    if not problems:
        problems.extend(_check_references(nodes))
    if problems:
        return result.Err(problems)
    return result.Ok(nodes)


def _parse_table(
    path: str, value: Any, nodes: Nodes, problems: list[Problem]
) -> None:
    parts = path.split("/")[1:]
    if not isinstance(value, Mapping):
        problems.append(Problem(path or "/", "expected a table"))
        return
    if parts and not all(NAME_PATTERN.fullmatch(part) for part in parts):
        reason = "names consist of lower-case letters, digits and dashes"
        problems.append(Problem(path, reason))
        return
    match parts:
        case []:
            _parse_children(path, value, ("fleet", "teams"), nodes, problems)
        case ["fleet"]:
            _parse_node(path, value, Fleet, nodes, problems)
        case ["teams"] | ["teams", _, "services" | "workspaces" | "shifts"]:
            _parse_children(path, value, tuple(value), nodes, problems)
        case ["teams", _]:
            own = {k: v for k, v in value.items() if k not in COLLECTIONS}
            _parse_node(path, own, Team, nodes, problems)
            rest = {k: v for k, v in value.items() if k in COLLECTIONS}
            _parse_children(path, rest, tuple(COLLECTIONS), nodes, problems)
        case ["teams", _, collection, _] if collection in COLLECTIONS:
            _parse_node(path, value, COLLECTIONS[collection], nodes, problems)
        case _:
            problems.append(Problem(path, "no settings exist at this path"))


def _parse_children(
    path: str,
    value: Mapping[str, Any],
    names: tuple[str, ...],
    nodes: Nodes,
    problems: list[Problem],
) -> None:
    for name, child in value.items():
        if name in names:
            _parse_table(f"{path}/{name}", child, nodes, problems)
        else:
            problems.append(Problem(f"{path}/{name}", "unknown setting"))


def _parse_node(
    path: str,
    value: Mapping[str, Any],
    type_: type[Node],
    nodes: Nodes,
    problems: list[Problem],
) -> None:
    if len(path) > MAX_PATH_CHARACTERS:
        problems.append(Problem(path, "path is too long"))
        return
    for name in COMMAND_FIELDS.get(type_, ()):
        if name in value:
            reason = "is set by commands and cannot be set in files"
            problems.append(Problem(f"{path}/{name}", reason))
            return
    try:
        node = msgspec.convert(value, type_)
        bounds.check(path.rpartition("/")[2], node)
        nodes[path] = node  # type: ignore[assignment]
    except errors.RefusedError as error:
        problems.append(Problem(path, error.refusal.detail))
    except msgspec.ValidationError as error:
        reason, _, where = str(error).partition(" - at `$")
        below = where.rstrip("`").replace(".", "/")
        problems.append(Problem(path + below, reason))


def _check_references(nodes: Nodes) -> list[Problem]:
    problems: list[Problem] = []
    for path, node in nodes.items():
        if isinstance(node, Fleet):
            problems.extend(_check_fleet(path, node))
        if isinstance(node, Shift) and node.source == node.target:
            problems.append(Problem(f"{path}/to", "is the same as `from`"))
    return problems


def _check_fleet(path: str, fleet: Fleet) -> list[Problem]:
    problems: list[Problem] = []
    owners: dict[str, str] = {}
    for name, region in fleet.regions.items():
        for failure_domain in region.failure_domains:
            if failure_domain in owners:
                reason = f"failure domain {failure_domain!r} is in two regions"
                problems.append(Problem(f"{path}/regions/{name}", reason))
            owners[failure_domain] = name
        for block in region.client_blocks:
            try:
                ipaddress.ip_network(block)
            except ValueError as error:
                where = f"{path}/regions/{name}/client_blocks"
                problems.append(Problem(where, str(error)))
    for link in fleet.links:
        for name in link.between:
            if name not in fleet.regions:
                reason = f"region {name!r} does not exist"
                problems.append(Problem(f"{path}/links", reason))
    return problems
