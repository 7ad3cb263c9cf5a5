"""The nodes of the settings tree: their types, paths and validation."""

import ipaddress
import re
from collections.abc import Mapping
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec
import result

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
MAX_PATH_CHARACTERS = 400

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
ErrorStatus = Annotated[int, msgspec.Meta(ge=400, le=599)]


class Node(msgspec.Struct, forbid_unknown_fields=True, tag=True):
    """Base of every node; the tag names the type on disk and on the wire."""


class Defaults(msgspec.Struct, forbid_unknown_fields=True):
    """Values that hold below a node unless a child overrides them.

    Attributes:
        timeout_ms: Longest time a request may take, in milliseconds.
        queue_ms: Longest wait for a slot or a token, in milliseconds.
        max_body_bytes: Largest request body.
        retry_ratio: Retries allowed per request, as a ratio.
    """

    timeout_ms: Milliseconds | None = None
    queue_ms: Milliseconds | None = None
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0)] | None = None
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] | None = None


class Region(msgspec.Struct, forbid_unknown_fields=True):
    """A region and the failure domains in it.

    Attributes:
        failure_domains: Names of its failure domains.
        accept_rate: Requests per second it takes from other regions.
        client_blocks: CIDR blocks of the clients that are nearest to it.
    """

    failure_domains: list[str]
    accept_rate: NonNegative = 0.0
    client_blocks: list[str] = []


class Link(msgspec.Struct, forbid_unknown_fields=True):
    """The shared link between two regions, in Mbit/s each way."""

    between: Annotated[list[str], msgspec.Meta(min_length=2, max_length=2)]
    mbit: Positive
    latency_ms: NonNegative = 0.0


class Fleet(Node, tag="fleet"):
    """What holds for the whole fleet.

    Attributes:
        regions: Regions by name.
        links: Links between regions.
        freshness_ms: Age of settings at which keyed work is refused.
        lookup_max_age_ms: How long callers may cache a look-up.
        claim_retention_ms: How long an at-most-once claim is remembered.
        defaults: Values for every service.
    """

    regions: dict[str, Region] = {}
    links: list[Link] = []
    freshness_ms: Annotated[int, msgspec.Meta(ge=1000, le=60_000)] = 5000
    lookup_max_age_ms: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 5000
    claim_retention_ms: Annotated[int, msgspec.Meta(ge=60_000)] = 3_600_000
    defaults: Defaults = msgspec.field(default_factory=Defaults)


class Team(Node, tag="team"):
    """A team's own values."""

    defaults: Defaults = msgspec.field(default_factory=Defaults)


class Route(msgspec.Struct, forbid_unknown_fields=True):
    """Requests that a service takes, by host and path prefix.

    Attributes:
        host: Host name without port.
        prefix: Path prefix; the longest one wins.
        access: "keyed" checks the caller's key; "open" takes everyone.
        at_most_once: Whether an idempotency key is required or optional.
        timeout_ms: Overrides the service's.
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
        header: Header that must be present in it.
    """

    status: ErrorStatus = 503
    header: str = "Pollenseam-Shed"


class Service(Node, tag="service"):
    """A service of a team.

    Attributes:
        routes: Requests that it takes.
        workspaces: Workspaces that may use it; empty for all of the team.
        shed: The declared answer that means "not run".
        defaults: Overrides of the team's values.
    """

    routes: Annotated[list[Route], msgspec.Meta(min_length=1)]
    workspaces: list[str] = []
    shed: Shed = msgspec.field(default_factory=Shed)
    defaults: Defaults = msgspec.field(default_factory=Defaults)


class Workspace(Node, tag="workspace"):
    """A workspace's limits.

    Attributes:
        rate: Requests per second over the whole fleet.
        burst: Requests above the rate over the whole fleet.
        weight: Share where room is short, relative to other workspaces.
    """

    rate: Positive
    burst: Annotated[float, msgspec.Meta(ge=1)]
    weight: Positive = 1.0


class Shift(Node, tag="shift"):
    """A planned move of a service's traffic between two regions.

    Attributes:
        service: Service of the same team.
        source: Region that the traffic leaves; `from` in files.
        target: Region that it goes to; `to` in files.
        cap: Most requests per second moved, over the whole fleet.
        ramp_ms: Time from the start until the cap is reached.
        state: Whether traffic moves; set by `shift start` and `shift stop`.
        started_ms: State clock at which it was last started or stopped.
    """

    service: str
    source: str = msgspec.field(name="from")
    target: str = msgspec.field(name="to")
    cap: Annotated[float, msgspec.Meta(ge=2)]
    ramp_ms: Annotated[int, msgspec.Meta(ge=0, le=86_400_000)] = 60_000
    state: Literal["planned", "running", "stopped"] = "planned"
    started_ms: int = 0


class Key(Node, tag="key"):
    """A key's digest; the path above it says what the key opens."""

    digest: str


class Operator(Node, tag="operator"):
    """An operator's token digest and the subtree it owns."""

    digest: str
    subtree: str


AnyNode = Fleet | Team | Service | Workspace | Shift | Key | Operator

COMMAND_FIELDS: Mapping[type[Node], tuple[str, ...]] = {
    Shift: ("state", "started_ms"),
}

COLLECTIONS: Mapping[str, type[Node]] = {
    "services": Service,
    "workspaces": Workspace,
    "shifts": Shift,
}


class Problem(msgspec.Struct):
    """One thing wrong in a settings file, with the path it stands at."""

    path: str
    reason: str


Nodes = dict[str, AnyNode]


def is_within(path: str, subtree: str) -> bool:
    """Tells whether `path` is `subtree` or lies below it."""
    return subtree == "/" or path == subtree or path.startswith(subtree + "/")


def parse(
    document: Mapping[str, Any], at: str = "/"
) -> result.Result[Nodes, list[Problem]]:
    """Turns a TOML document into nodes by path.

    Args:
        document: Decoded TOML; its root stands at `at`.
        at: "/", "/fleet", "/teams" or a path below "/teams".

    Returns:
        All nodes of the document, or everything that is wrong with it.
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
        reason = "names are lower-case letters, digits and dashes"
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
            problems.append(Problem(path, "no settings stand at this path"))


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
            reason = "is set by the tool's commands, not by files"
            problems.append(Problem(f"{path}/{name}", reason))
            return
    try:
        nodes[path] = msgspec.convert(value, type_)  # type: ignore[assignment]
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
        for domain in region.failure_domains:
            if domain in owners:
                reason = f"failure domain {domain!r} is in two regions"
                problems.append(Problem(f"{path}/regions/{name}", reason))
            owners[domain] = name
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
