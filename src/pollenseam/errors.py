"""Error kinds, the answers to callers that belong to them, and exceptions."""

import enum


class Kind(enum.StrEnum):
    """Reasons for which requests and operations are refused; a closed list."""

    MALFORMED = "malformed"
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    FORBIDDEN = "forbidden"
    NO_ROUTE = "no-route"
    KEY_REUSED = "idempotency-key-reused"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    CONFLICT = "version-conflict"
    CHANGE_REUSED = "change-id-reused"
    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    OVER_RATE = "over-rate"
    UPSTREAM_FAILED = "upstream-failed"
    NO_ROOM = "no-room"
    CRASHES_UPSTREAMS = "crashes-upstreams"
    NOT_FRESH = "not-fresh"
    STOPPING = "stopping"
    NO_QUORUM = "no-quorum"
    DEADLINE = "deadline"


class Answer:
    """How a refusal of one error kind is answered.

    Attributes:
        status: HTTP status code.
        executed: "no" if the error kind alone proves that no upstream
            received the request, "unknown" if the request may have run. A
            Refusal may override this.
        retry_after: Seconds after which a retry may succeed, or None.
        exit_code: Exit code of the command-line tool.
    """

    __slots__ = ("status", "executed", "retry_after", "exit_code")

    def __init__(
        self,
        status: int,
        executed: str = "no",
        retry_after: int | None = None,
        exit_code: int = 2,
    ) -> None:
        self.status = status
        self.executed = executed
        self.retry_after = retry_after
        self.exit_code = exit_code


ANSWERS = {
    Kind.MALFORMED: Answer(400),
    Kind.KEY_MISSING: Answer(401, exit_code=4),
    Kind.KEY_UNKNOWN: Answer(401, exit_code=4),
    Kind.FORBIDDEN: Answer(403, exit_code=4),
    Kind.NO_ROUTE: Answer(404),
    Kind.KEY_REUSED: Answer(409),
    Kind.IN_PROGRESS: Answer(409, executed="unknown", retry_after=1),
    Kind.OUTCOME_UNKNOWN: Answer(409, executed="unknown", exit_code=5),
    Kind.CONFLICT: Answer(409, exit_code=3),
    Kind.CHANGE_REUSED: Answer(409, exit_code=3),
    Kind.BODY_TOO_LARGE: Answer(413),
    Kind.HEADERS_TOO_LARGE: Answer(431),
    Kind.OVER_RATE: Answer(429, retry_after=1),
    Kind.UPSTREAM_FAILED: Answer(502, executed="unknown"),
    Kind.NO_ROOM: Answer(503, retry_after=1, exit_code=5),
    Kind.CRASHES_UPSTREAMS: Answer(503, exit_code=5),
    Kind.NOT_FRESH: Answer(503, retry_after=1, exit_code=5),
    Kind.STOPPING: Answer(503, retry_after=1, exit_code=5),
    Kind.NO_QUORUM: Answer(503, retry_after=1, exit_code=5),
    Kind.DEADLINE: Answer(504, executed="unknown", exit_code=5),
}


# Kinds of refusals after which a retry on another VM may succeed.
RETRY_ELSEWHERE_KINDS = frozenset(
    {Kind.NOT_FRESH, Kind.NO_QUORUM, Kind.STOPPING}
)


class Refusal:
    """The refusal of one request or operation.

    Attributes:
        kind: Error kind, which selects the answer.
        detail: Description of the error for people.
        executed: "no" or "unknown"; that of the answer by default.
        retry_after: Seconds after which a retry may succeed, or None; that of
            the answer by default.
        unreached_service: Path of the service that this VM does not reach, so
            that other VMs may serve the request; or "".
    """

    __slots__ = (
        "kind",
        "detail",
        "executed",
        "retry_after",
        "unreached_service",
    )

    def __init__(
        self,
        kind: Kind,
        detail: str,
        executed: str | None = None,
        retry_after: float | None = None,
    ) -> None:
        answer = ANSWERS[kind]
        self.kind = kind
        self.detail = detail
        self.executed = executed or answer.executed
        self.retry_after = retry_after or answer.retry_after
        self.unreached_service = ""

    def __repr__(self) -> str:
        return f"Refusal({self.kind.value}: {self.detail})"


class PollenseamError(Exception):
    """Base class of the package's exceptions."""


class RefusedError(PollenseamError):
    """A request or an operation was refused.

    Attributes:
        refusal: The refusal.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class FlagError(PollenseamError):
    """A flag or its environment variable is invalid, or cannot be used."""


class DamagedError(PollenseamError):
    """A file of the data folder, or a trace, is damaged or incomplete."""


class NotLeaderError(PollenseamError):
    """The replica is not the leader, or has lost its leadership."""


class UnreachableError(PollenseamError):
    """No valid answer came in time; the outcome of a change is unknown.

    Attributes:
        outcome: gRPC status in lower case, or "" if there is none.
    """

    def __init__(self, detail: str, outcome: str = "") -> None:
        super().__init__(detail)
        self.outcome = outcome


def refuse(
    kind: Kind,
    detail: str,
    executed: str | None = None,
    retry_after: float | None = None,
) -> RefusedError:
    """Returns a RefusedError, to be raised, with a new Refusal.

    Args:
        kind: Error kind.
        detail: Description of the error for people.
        executed: "no" or "unknown"; that of the answer by default.
        retry_after: Seconds after which a retry may succeed; that of the
            answer by default.
    """
    return RefusedError(Refusal(kind, detail, executed, retry_after))
