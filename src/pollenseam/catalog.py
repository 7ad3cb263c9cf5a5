"""The settings tree compiled for use by an entry VM."""

from pollenseam import settings

TIMEOUT_MS = 30_000
QUEUE_MS = 1_000
MAX_BODY_BYTES = 16 * 1024 * 1024
RETRY_RATIO = 0.1


class Service:
    """A service with the values that hold for it.

    Attributes:
        path: Path in the tree.
        team: Path of its team.
        workspaces: Paths of the workspaces that may use it.
        shed: The declared answer that means "not run".
        timeout_ms: Longest time a request may take.
        queue_ms: Longest wait for a slot or a token.
        max_body_bytes: Largest request body.
        retry_ratio: Retries allowed per request.
        shifts: Running shifts as (path, shift).
    """

    __slots__ = (
        "path",
        "team",
        "workspaces",
        "shed",
        "timeout_ms",
        "queue_ms",
        "max_body_bytes",
        "retry_ratio",
        "shifts",
    )

    def __init__(self, path: str, node: settings.Service) -> None:
        self.path = path
        self.team = team_of(path)
        self.workspaces = frozenset(
            f"{self.team}/workspaces/{name}" for name in node.workspaces
        )
        self.shed = node.shed
        self.timeout_ms = TIMEOUT_MS
        self.queue_ms = QUEUE_MS
        self.max_body_bytes = MAX_BODY_BYTES
        self.retry_ratio = RETRY_RATIO
        self.shifts: list[tuple[str, settings.Shift]] = []

    def allows(self, workspace: str) -> bool:
        """Tells whether a workspace may use this service."""
        if self.workspaces:
            return workspace in self.workspaces
        return team_of(workspace) == self.team


class Route:
    """A route with its service.

    Attributes:
        service: The service.
        node: The route's own settings.
        timeout_ms: Longest time a request may take.
    """

    __slots__ = ("service", "node", "timeout_ms")

    def __init__(self, service: Service, node: settings.Route) -> None:
        self.service = service
        self.node = node
        self.timeout_ms = node.timeout_ms or service.timeout_ms


class Key:
    """A key's digest and the node that it opens.

    Attributes:
        id: Public identifier.
        digest: Hex SHA-256 of the key.
        owner: Path of the workspace, or of the service it may announce for.
    """

    __slots__ = ("id", "digest", "owner")

    def __init__(self, id: str, digest: str, owner: str) -> None:
        self.id = id
        self.digest = digest
        self.owner = owner


class Catalog:
    """Everything an entry VM looks up per request.

    Attributes:
        fleet: The fleet's settings.
        services: By path.
        names: Services by path, TEAM/NAME and, where unique, NAME.
        routes: Routes by host, the longest prefix first.
        keys: By id.
        workspaces: By path.
    """

    __slots__ = (
        "fleet",
        "services",
        "services_by_name",
        "routes",
        "keys",
        "workspaces",
    )

    def __init__(self, nodes: settings.Nodes) -> None:
        fleet = nodes.get("/fleet")
        self.fleet = (
            fleet if isinstance(fleet, settings.Fleet) else settings.Fleet()
        )
        self.services: dict[str, Service] = {}
        self.services_by_name: dict[str, Service] = {}
        self.routes: dict[str, list[Route]] = {}
        self.keys: dict[str, Key] = {}
        self.workspaces: dict[str, settings.Workspace] = {}
        shifts: list[tuple[str, settings.Shift]] = []
        for path, node in nodes.items():
            if isinstance(node, settings.Service):
                self._add_service(path, node, nodes)
            elif isinstance(node, settings.Workspace):
                self.workspaces[path] = node
            elif isinstance(node, settings.Key):
                owner, _, id = path.rpartition("/keys/")
                self.keys[id] = Key(id, node.digest, owner)
            elif isinstance(node, settings.Shift) and node.state == "running":
                shifts.append((path, node))
        self._build_indexes(shifts)

    def _add_service(
        self, path: str, node: settings.Service, nodes: settings.Nodes
    ) -> None:
        service = Service(path, node)
        team = nodes.get(service.team)
        levels = [node.defaults]
        if isinstance(team, settings.Team):
            levels.append(team.defaults)
        levels.append(self.fleet.defaults)
        for level in reversed(levels):
            _apply_defaults(service, level)
        self.services[path] = service
        for route in node.routes:
            host = self.routes.setdefault(route.host.lower(), [])
            host.append(Route(service, route))

    def _build_indexes(self, shifts: list[tuple[str, settings.Shift]]) -> None:
        for routes in self.routes.values():
            routes.sort(key=lambda route: -len(route.node.prefix))
        for path, shift in shifts:
            moved = self.services.get(
                f"{team_of(path)}/services/{shift.service}"
            )
            if moved is not None:
                moved.shifts.append((path, shift))
        short: dict[str, list[Service]] = {}
        for path, service in self.services.items():
            name = path.rpartition("/")[2]
            team = service.team.rpartition("/")[2]
            self.services_by_name[path] = service
            self.services_by_name[f"{team}/{name}"] = service
            short.setdefault(name, []).append(service)
        for name, found in short.items():
            if len(found) == 1:
                self.services_by_name[name] = found[0]

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`."""
        name = host.lower().partition(":")[0]
        for route in self.routes.get(name, ()):
            prefix = route.node.prefix
            if path.startswith(prefix) and (
                prefix.endswith("/")
                or len(path) == len(prefix)
                or path[len(prefix)] == "/"
            ):
                return route
        return None

    def resources(self) -> dict[str, float]:
        """Returns all leased resources with their rate per second."""
        found = {path: ws.rate for path, ws in self.workspaces.items()}
        for service in self.services.values():
            for path, shift in service.shifts:
                found[path] = shift.cap
        for name, region in self.fleet.regions.items():
            if region.accept_rate > 0:
                found[region_path(name)] = region.accept_rate
        return found


def _apply_defaults(service: Service, level: settings.Defaults) -> None:
    if level.timeout_ms is not None:
        service.timeout_ms = level.timeout_ms
    if level.queue_ms is not None:
        service.queue_ms = level.queue_ms
    if level.max_body_bytes is not None:
        service.max_body_bytes = level.max_body_bytes
    if level.retry_ratio is not None:
        service.retry_ratio = level.retry_ratio


def team_of(path: str) -> str:
    """Returns the path of the team that `path` lies in."""
    return "/".join(path.split("/", 3)[:3])


def region_path(region: str) -> str:
    """Returns the path that a region's headroom is leased under."""
    return f"/fleet/regions/{region}"


def compile(nodes: settings.Nodes) -> Catalog:
    """Returns the catalog of a settings tree."""
    return Catalog(nodes)
