"""Routes and keys of the registry, compiled for look-up by request."""

from pollenseam import items


class NamedRoute:
    """A route with its name."""

    __slots__ = ("name", "route", "current_weights")

    def __init__(self, name: str, route: items.Route) -> None:
        self.name = name
        self.route = route
        self.current_weights = dict.fromkeys(
            (s.service for s in route.splits), 0.0
        )

    def next_service(self) -> str:
        """Returns the service whose turn it is, by smooth weighted turns."""
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
    """A workspace with its name."""

    __slots__ = ("name", "workspace")

    def __init__(self, name: str, workspace: items.Workspace) -> None:
        self.name = name
        self.workspace = workspace


class Table:
    """What the items say, by host and by key.

    Attributes:
        hosts: Routes by host, longest prefix first.
        keys: Workspaces by key.
        workspaces: Workspaces by name.
        services: Services by name.
        limits: Limits of callers, or None.
        is_keyed: Whether requests need a key.
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
        """Returns the route with the longest prefix of a path, if any."""
        for entry in self.hosts.get(host.lower(), ()):
            if path.startswith(entry.route.prefix):
                return entry
        return None


def build(held: items.Items, before: Table | None = None) -> Table:
    """Returns the table of all items that stand.

    Args:
        held: Items by kind and name.
        before: The table so far; unchanged routes keep their turns.
    """
    kept: dict[str, NamedRoute] = {}
    if before is not None:
        kept = {e.name: e for group in before.hosts.values() for e in group}
    table = Table()
    for item in held.values():
        body = item.body
        if isinstance(body, items.Route):
            entry = kept.get(item.name)
            if entry is None or entry.route != body:
                entry = NamedRoute(item.name, body)
            table.hosts.setdefault(body.host, []).append(entry)
        elif isinstance(body, items.Workspace):
            table.workspaces[item.name] = body
            tenancy = NamedWorkspace(item.name, body)
            table.keys.update(dict.fromkeys(body.keys, tenancy))
        elif isinstance(body, items.Service):
            table.services[item.name] = body
        elif isinstance(body, items.Limits):
            table.limits = body
    # Once there were workspaces, a request without a key is refused even
    # when the last one has gone.
    table.requires_key = any(kind == items.WORKSPACE for kind, _ in held)
    for group in table.hosts.values():
        group.sort(key=lambda entry: -len(entry.route.prefix))
    return table
