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
KEY_HEADER = "authorization"
KEY_MARK = "ps_"
WORKSPACE = "Pollenseam-Workspace"
VM = "Pollenseam-Vm"
EXECUTED = "Pollenseam-Executed"
TIMEOUT = "Request-Timeout-Ms"
IDEMPOTENCY_KEY = "Idempotency-Key"

Pairs = list[tuple[str, str]]

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


def to_upstream(raw: Iterable[tuple[str, str]], key: str | None) -> Pairs:
    """Returns the caller's headers without what an upstream must not see.

    Args:
        raw: Names and values as received.
        key: The caller's key; a header that repeats it is dropped whole.
    """
    pairs: Pairs = []
    options: frozenset[str] = frozenset()
    for name, value in raw:
        lower = name.lower()
        if lower == "connection":
            options |= connection_options([value])
        if lower in _TO_UPSTREAM or lower.startswith(OWN_PREFIX):
            continue
        if key is not None and key in value:
            continue
        pairs.append((name, value))
    if options:
        return [pair for pair in pairs if pair[0].lower() not in options]
    return pairs


def to_caller(raw: Iterable[tuple[str, str]]) -> Pairs:
    """Returns an upstream's headers without hop-by-hop and our own ones."""
    pairs: Pairs = []
    options: frozenset[str] = frozenset()
    for name, value in raw:
        lower = name.lower()
        if lower == "connection":
            options |= connection_options([value])
        if lower in _TO_CALLER or lower.startswith(OWN_PREFIX):
            continue
        pairs.append((name, value))
    if options:
        return [pair for pair in pairs if pair[0].lower() not in options]
    return pairs


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
