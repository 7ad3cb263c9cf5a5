"""What is asked and answered about where a request would go."""

import msgspec

# Path at which an entry VM answers, at the address of its metrics.
PATH = "/where"
# What happens to a request at the VM that receives it.
ADMITTED = "admitted"
QUEUED = "queued"
REFUSED = "refused"
# What happens to it then, if it isn't refused.
SENT = "sent"
RELAYED = "relayed"


class Query(msgspec.Struct):
    """A request that may be sent.

    Attributes:
        host: Host header.
        path: Path.
        workspace: Name of the caller's workspace, or "".
        failure_domain: Failure domain in which the request arrives, or "" for
            the VM's own.
        object: Id of the object that the request concerns, or "".
    """

    host: str
    path: str
    workspace: str = ""
    failure_domain: str = ""
    object: str = ""


class Candidate(msgspec.Struct):
    """An upstream that was weighed; times are in seconds.

    Attributes:
        upstream: Id of the upstream.
        region: Its region.
        failure_domain: Its failure domain.
        rank: Its position in the order for the object; 0 is the first.
        is_preferred: Whether it is in the object's preferred region.
        load: Requests that are on it, as far as is known.
        slots: Requests that it runs at a time.
        wait_seconds: Expected wait for a slot.
        work_seconds: Expected time of processing and travel.
        penalty_seconds: What is added for the order of choice.
        excess_wait_seconds: Expected wait beyond the acceptable one.
        excluded: Why it must not get the request now, or "".
    """

    upstream: str
    region: str
    failure_domain: str
    rank: int
    is_preferred: bool
    load: float
    slots: int
    wait_seconds: float
    work_seconds: float
    penalty_seconds: float
    excess_wait_seconds: float
    excluded: str


class Answer(msgspec.Struct):
    """Where a request would go.

    Attributes:
        vm: The VM that answers.
        region: Its region.
        failure_domain: Its failure domain.
        settings_index: Index of the settings in force.
        settings_age_seconds: Their age.
        admission: ADMITTED, QUEUED or REFUSED at this VM, for the caller's
            settings and rate.
        outcome: SENT to an upstream, RELAYED to another VM, or REFUSED.
        why: Reason of a wait, a relay or a refusal.
        retry_after: Seconds after which a refused caller may come back.
        route: Name of the route, or "".
        service: Name of the service, or "".
        upstream: Upstream that would get it, or "".
        candidates: All upstreams of the service, in the order of choice.
        elsewhere: Addresses of the entry VMs in the failure domain that was
            asked for, if this VM is not in it; then nothing else was decided.
    """

    vm: str
    region: str
    failure_domain: str
    settings_index: int
    settings_age_seconds: float
    admission: str = ""
    outcome: str = ""
    why: str = ""
    retry_after: float | None = None
    route: str = ""
    service: str = ""
    upstream: str = ""
    candidates: list[Candidate] = []
    elsewhere: list[str] = []
