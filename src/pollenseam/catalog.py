"""The settings tree, indexed for the look-ups of an entry VM."""

from pollenseam import settings

# Values that apply if neither the service, its team nor the fleet sets them.
TIMEOUT_MS = 30_000
QUEUE_MS = 1_000
MAX_BODY_BYTES = 16 * 1024 * 1024
RETRY_RATIO = 0.1


class Service:
    """A service with its effective values.

    Attributes:
        path: Path of the service in the settings tree.
        team: Path of the team.
        workspaces: Paths of the workspaces that may use the service; empty
            for all of the team.
        shed: The answer that means that a request did not run.
        timeout_ms: Time limit of a request, in milliseconds.
        queue_ms: Longest wait for a slot or a token, in milliseconds.
        max_body_bytes: Maximum size of a request body.
        retry_ratio: Maximum ratio of retries to requests.
        shifts: Running shifts of the service as (path, shift).
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
        """Returns whether the workspace at a path may use this service."""
        if self.workspaces:
            return workspace in self.workspaces
        return team_of(workspace) == self.team


class Route:
    """A route with its service.

    Attributes:
        service: The service.
        node: Settings of the route.
        timeout_ms: Time limit of a request, in milliseconds.
    """

    __slots__ = ("service", "node", "timeout_ms")

    def __init__(self, service: Service, node: settings.Route) -> None:
        self.service = service
        self.node = node
        self.timeout_ms = node.timeout_ms or service.timeout_ms


class Key:
    """A key and the node that it gives access to.

    Attributes:
        id: Public identifier.
        digest: Hex SHA-256 of the key.
        owner: Path of the workspace, or of the service whose upstreams may
            announce themselves with the key.
    """

    __slots__ = ("id", "digest", "owner")

    def __init__(self, id: str, digest: str, owner: str) -> None:
        self.id = id
        self.digest = digest
        self.owner = owner


class Catalog:
    """Indexes of the settings tree for the look-ups of each request.

    Attributes:
        fleet: Settings of the fleet.
        services: Services by path.
        services_by_name: Services by path, by TEAM/NAME and, if it is unique,
            by NAME.
        routes: Routes by host, those with the longest prefix first.
        keys: Keys by id.
        workspaces: Workspaces by path.
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
            routes = self.routes.setdefault(route.host.lower(), [])
            routes.append(Route(service, route))

    def _build_indexes(self, shifts: list[tuple[str, settings.Shift]]) -> None:
        for routes in self.routes.values():
            routes.sort(key=lambda route: -len(route.node.prefix))
        for path, shift in shifts:
            shifted = self.services.get(
                f"{team_of(path)}/services/{shift.service}"
            )
            if shifted is not None:
                shifted.shifts.append((path, shift))
        same_name: dict[str, list[Service]] = {}
        for path, service in self.services.items():
            name = path.rpartition("/")[2]
            team = service.team.rpartition("/")[2]
            self.services_by_name[path] = service
            self.services_by_name[f"{team}/{name}"] = service
            same_name.setdefault(name, []).append(service)
        for name, services in same_name.items():
            if len(services) == 1:
                self.services_by_name[name] = services[0]

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route of `host` with the longest prefix of `path`.

        Prefixes match whole path segments only. A port in `host` is ignored.
        The result is None if no route matches.
        """
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
        """Returns the rate limit, per second, of each leased resource.

        Resources are workspaces, running shifts and the headroom of regions
        for requests from other regions, each by its path.
        """
        rates = {path: ws.rate for path, ws in self.workspaces.items()}
        for service in self.services.values():
            for path, shift in service.shifts:
                rates[path] = shift.cap
        for name, region in self.fleet.regions.items():
            if region.accept_rate > 0:
                rates[region_path(name)] = region.accept_rate
        return rates


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
    """Returns the path under which the headroom of a region is leased."""
    return f"/fleet/regions/{region}"


def compile(nodes: settings.Nodes) -> Catalog:
    """Returns the catalog of a settings tree."""
    return Catalog(nodes)
