"""Filtering and checking of HTTP headers (RFC 9110, RFC 9112)."""

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
# Sent by an upstream that leaves, with the value 1.
LEAVING = "Pollenseam-Leaving"
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
    """Returns the names in Connection, lower-case (RFC 9110, section 7.6.1)."""
    return frozenset(
        option.strip().lower()
        for value in values
        for option in value.split(",")
    )


def to_upstream(
    raw: multidict.CIMultiDictProxy[str], key: str | None
) -> multidict.CIMultiDict[str]:
    """Returns the headers of a caller's request to forward to an upstream.

    Drops hop-by-hop headers, headers with the prefix OWN_PREFIX,
    Authorization and Expect, as well as Content-Length, Host and the timeout,
    which are set for each attempt.

    Args:
        raw: Headers as received.
        key: The caller's key, or None. Headers whose value contains the key
            are dropped, so that no upstream receives it.
    """
    forwarded = _drop_headers(raw, _TO_UPSTREAM)
    if key is not None:
        for name in [n for n, value in forwarded.items() if key in value]:
            forwarded.popall(name, None)
    return forwarded


def to_caller(
    raw: multidict.CIMultiDictProxy[str],
) -> multidict.CIMultiDict[str]:
    """Returns the headers of an upstream's response to forward to a caller.

    Drops hop-by-hop headers, headers with the prefix OWN_PREFIX, and
    Content-Length.
    """
    return _drop_headers(raw, _TO_CALLER)


def _drop_headers(
    raw: multidict.CIMultiDictProxy[str], dropped: frozenset[str]
) -> multidict.CIMultiDict[str]:
    forwarded = raw.copy()
    for name in dropped:
        forwarded.popall(name, None)
    for option in connection_options(raw.getall("Connection", ())):
        forwarded.popall(option, None)
    for name in raw:
        if name[:OWN_PREFIX_LENGTH].lower() == OWN_PREFIX:
            forwarded.popall(name, None)
    return forwarded


def check_framing(raw: multidict.CIMultiDictProxy[str]) -> None:
    """Checks that parsers cannot read a request head in different ways.

    A head with both Content-Length and Transfer-Encoding, with several
    lengths, or with several hosts can be used for request smuggling (RFC
    9112, sections 6.1 and 3.2).

    Raises:
        RefusedError: The head is ambiguous or has no Host.
    """
    lengths = len(raw.getall("Content-Length", ()))
    encodings = len(raw.getall("Transfer-Encoding", ()))
    if lengths + encodings > 1:
        raise errors.refuse(
            errors.Kind.MALFORMED, "more than one message length is given"
        )
    if len(raw.getall("Host", ())) != 1:
        raise errors.refuse(
            errors.Kind.MALFORMED, "exactly one Host header is required"
        )
    if len(raw.getall("Authorization", ())) > 1:
        raise errors.refuse(
            errors.Kind.MALFORMED, "at most one Authorization header is allowed"
        )


def parse_timeout_ms(value: str | None) -> int | None:
    """Returns the caller's timeout in milliseconds, or None if not given.

    Raises:
        RefusedError: `value` is not a positive whole number of at most nine
            digits.
    """
    if value is None:
        return None
    digits = value.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > 9:
        detail = f"{TIMEOUT} must be a whole number of milliseconds"
        raise errors.refuse(errors.Kind.MALFORMED, detail)
    milliseconds = int(digits)
    if milliseconds == 0:
        detail = f"{TIMEOUT} must be positive"
        raise errors.refuse(errors.Kind.DEADLINE, detail, executed="no")
    return milliseconds
