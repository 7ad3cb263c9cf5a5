"""Header hygiene between callers and upstreams (RFC 9110, RFC 9112)."""

from collections.abc import Iterable

import multidict

from pollenseam import errors

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
OWN_PREFIX = "pollenseam-"
OWN_PREFIX_LENGTH = len(OWN_PREFIX)
KEY_HEADER = "authorization"
WORKSPACE = "Pollenseam-Workspace"
VM = "Pollenseam-Vm"
EXECUTED = "Pollenseam-Executed"
TIMEOUT = "Request-Timeout-Ms"
IDEMPOTENCY_KEY = "Idempotency-Key"

_TO_UPSTREAM = HOP_BY_HOP | {
    KEY_HEADER,
    "content-length",
    "expect",
    "host",
    TIMEOUT.lower(),
}
_TO_CALLER = HOP_BY_HOP | {"content-length"}


def connection_options(values: Iterable[str]) -> frozenset[str]:
    """Returns the header names listed in Connection (RFC 9110, 7.6.1)."""
    return frozenset(
        option.strip().lower()
        for value in values
        for option in value.split(",")
    )


def to_upstream(
    raw: multidict.CIMultiDictProxy[str], key: str | None
) -> multidict.CIMultiDict[str]:
    """Returns the caller's headers without what an upstream must not see.

    Args:
        raw: Headers as received.
        key: The caller's key; a header that repeats it is dropped whole.
    """
    passed = _drop_headers(raw, _TO_UPSTREAM)
    if key is not None:
        for name in [n for n, value in passed.items() if key in value]:
            passed.popall(name, None)
    return passed


def to_caller(
    raw: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    """Returns an upstream's headers without hop-by-hop and our own ones."""
    return _drop_headers(raw, _TO_CALLER)


def _drop_headers(
    raw: multidict.CIMultiDictProxy[str], dropped: frozenset[str]
) -> multidict.CIMultiDict[str]:
    passed = raw.copy()
    for name in dropped:
        passed.popall(name, None)
    for option in connection_options(raw.getall("Connection", ())):
        passed.popall(option, None)
    for name in raw:
        if name[:OWN_PREFIX_LENGTH].lower() == OWN_PREFIX:
            passed.popall(name, None)
    return passed


def check_framing(raw: multidict.CIMultiDictProxy[str]) -> None:
    """Refuses heads that two parsers may read in two ways.

    A head with both Content-Length and Transfer-Encoding, with several
    lengths, or with several hosts is how requests are smuggled (RFC 9112,
    section 6.1 and 3.2).

    Raises:
        RefusedError: The head is ambiguous.
    """
    lengths = len(raw.getall("Content-Length", ()))
    encodings = len(raw.getall("Transfer-Encoding", ()))
    if lengths + encodings > 1:
        raise errors.refuse(
            errors.Kind.MALFORMED, "more than one message length is given"
        )
    if len(raw.getall("Host", ())) != 1:
        raise errors.refuse(errors.Kind.MALFORMED, "give exactly one Host")
    if len(raw.getall("Authorization", ())) > 1:
        raise errors.refuse(
            errors.Kind.MALFORMED, "give at most one Authorization"
        )


def parse_timeout_ms(value: str | None) -> int | None:
    """Returns the caller's own time limit in milliseconds.

    Raises:
        RefusedError: It is no positive whole number of at most nine digits.
    """
    if value is None:
        return None
    digits = value.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > 9:
        detail = f"{TIMEOUT} is a whole number of milliseconds"
        raise errors.refuse(errors.Kind.MALFORMED, detail)
    milliseconds = int(digits)
    if milliseconds == 0:
        detail = f"{TIMEOUT} leaves no time"
        raise errors.refuse(errors.Kind.DEADLINE, detail, executed="no")
    return milliseconds
