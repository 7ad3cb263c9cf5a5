"""What a request requires of the upstream that will serve it."""

from collections.abc import Container


class Requirements:
    """What a request requires of the upstream that will serve it.

    Attributes:
        route: Name of the request's route.
        object: Object that the request concerns, or None.
        regions: Regions that may serve the request; all if empty.
        tried: Ids of upstreams that must not get the request again.
        target_seconds: Time within which a response should be expected.
        is_risky: Whether the request may crash the upstream that runs it.
        reserve_ratio: Part (0 to 1) of an upstream's limited rate, of what has
            been saved up, that is left to requests of higher priorities.
    """

    __slots__ = (
        "route",
        "object",
        "regions",
        "tried",
        "target_seconds",
        "reserve_ratio",
        "is_risky",
    )

    def __init__(
        self,
        route: str,
        object: str | None,
        regions: Container[str],
        tried: Container[str],
        target_seconds: float = 1.0,
        reserve_ratio: float = 0.0,
        is_risky: bool = False,
    ) -> None:
        self.target_seconds = target_seconds
        self.reserve_ratio = reserve_ratio
        self.is_risky = is_risky
        self.route = route
        self.object = object
        self.regions = regions
        self.tried = tried
