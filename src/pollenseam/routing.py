"""Routing table: finds the route and the workspace of a request."""

from pollenseam import items


class NamedRoute:
    """A route with its name and the state that divides its traffic.

    Attributes:
        name: Name of the route.
        route: Configuration of the route.
        current_weights: Current weight of each service of the split, for
            smooth weighted round robin.
    """

    __slots__ = ("name", "route", "current_weights")

    def __init__(self, name: str, route: items.Route) -> None:
        self.name = name
        self.route = route
        self.current_weights = dict.fromkeys(
            (s.service for s in route.splits), 0.0
        )

    def next_service(self) -> str:
        """Returns the next service of the split (smooth weighted round robin).

        Each service gets its proportion of requests over short spans as well.
        """
        splits = self.route.splits
        if len(splits) == 1:
            return splits[0].service
        total = sum(split.weight for split in splits)
        for split in splits:
            self.current_weights[split.service] += split.weight / total
        best = max(
            self.current_weights, key=lambda name: self.current_weights[name]
        )
        self.current_weights[best] -= 1.0
        return best


class NamedWorkspace:
    """A workspace with its name.

    Attributes:
        name: Name of the workspace.
        workspace: Configuration of the workspace.
    """

    __slots__ = ("name", "workspace")

    def __init__(self, name: str, workspace: items.Workspace) -> None:
        self.name = name
        self.workspace = workspace


class Table:
    """Configuration items, indexed for look-up by request.

    Attributes:
        hosts: Routes by host, longest path prefix first.
        keys: Workspaces by API key.
        workspaces: Workspaces by name.
        services: Services by name.
        limits: Limits that apply to callers, or None.
        requires_key: Whether requests need an API key.
    """

    __slots__ = (
        "hosts",
        "keys",
        "workspaces",
        "services",
        "limits",
        "requires_key",
    )

    def __init__(self) -> None:
        self.hosts: dict[str, list[NamedRoute]] = {}
        self.keys: dict[str, NamedWorkspace] = {}
        self.workspaces: dict[str, items.Workspace] = {}
        self.services: dict[str, items.Service] = {}
        self.limits: items.Limits | None = None
        self.requires_key = False

    def find_route(self, host: str, path: str) -> NamedRoute | None:
        """Returns the route with the longest matching path prefix, or None.

        The host is matched without regard to case.
        """
        for named in self.hosts.get(host.lower(), ()):
            if path.startswith(named.route.prefix):
                return named
        return None


def build(items_by_key: items.Items, previous: Table | None = None) -> Table:
    """Builds the routing table of the given items.

    Args:
        items_by_key: Items by kind and name, deleted ones included.
        previous: Previous table, or None. Unchanged routes keep their position
            in the round robin.
    """
    kept: dict[str, NamedRoute] = {}
    if previous is not None:
        kept = {r.name: r for group in previous.hosts.values() for r in group}
    table = Table()
    for item in items_by_key.values():
        body = item.body
        if isinstance(body, items.Route):
            named = kept.get(item.name)
            if named is None or named.route != body:
                named = NamedRoute(item.name, body)
            table.hosts.setdefault(body.host, []).append(named)
        elif isinstance(body, items.Workspace):
            table.workspaces[item.name] = body
            named_workspace = NamedWorkspace(item.name, body)
            table.keys.update(dict.fromkeys(body.keys, named_workspace))
        elif isinstance(body, items.Service):
            table.services[item.name] = body
        elif isinstance(body, items.Limits):
            table.limits = body
    # Keys stay required after the last workspace was deleted (deleted items
    # are still listed), so that its removal does not admit everyone.
    table.requires_key = any(
        kind == items.WORKSPACE for kind, _ in items_by_key
    )
    for group in table.hosts.values():
        group.sort(key=lambda named: -len(named.route.prefix))
    return table
