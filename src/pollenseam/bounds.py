"""Bounds of what others may write: JSON bodies, numbers, text, addresses.

Whatever a body is about, its values pass these checks before anything is kept
of it. The bounds are wide: nothing that a writer could mean is outside them.
Inside them arithmetic cannot overflow, and what was accepted can be encoded in
every message, log entry and snapshot.
"""

import ipaddress
import re
from typing import TypeVar

import msgspec

from pollenseam import errors

# Levels of arrays and objects in a JSON body.
MAX_DEPTH = 64
MAX_INTEGER = 2**63 - 1
MAX_FLOAT = 1e15
# Of a number without a sign in decimal digits.
MAX_INTEGER_DIGITS = 19
MAX_TEXT_CHARACTERS = 4096
MAX_PORT = 65_535
SHOWN_CHARACTERS = 80

_T = TypeVar("_T")

_JSON_ESCAPE = re.compile(rb"\\.", re.DOTALL)
_NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
# Without 0.0.0.0/8 (this network), multicast and reserved addresses.
_HOST_OCTET = "(?:22[0-3]|2[01][0-9]|1[0-9][0-9]|[1-9][0-9]?)"
_ADDRESS = re.compile(
    rf"{_HOST_OCTET}\.{_OCTET}\.{_OCTET}\.{_OCTET}:(?P<port>[1-9][0-9]{{0,4}})"
)
_IPV6_ADDRESS = re.compile(
    r"\[[0-9A-Fa-f:.]+\]:(?P<port>[1-9][0-9]{0,4})", re.ASCII
)
_CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f]")


def decode_json(body: bytes, type_: type[_T]) -> _T:
    """Returns a JSON body, decoded to a type.

    Raises:
        RefusedError: The body is not JSON, has more than MAX_DEPTH levels, or
            does not match the type.
    """
    if _is_too_deep(body):
        raise _malformed(f"the body has more than {MAX_DEPTH} levels")
    try:
        return msgspec.json.decode(body, type=type_)
    except (msgspec.DecodeError, UnicodeError) as error:
        raise _malformed(f"the body cannot be used: {error}") from error


def _is_too_deep(body: bytes) -> bool:
    """Returns whether arrays and objects are nested beyond MAX_DEPTH.

    A parser that meets them needs the stack of its caller, whose size nobody
    knows; so the brackets outside of strings are counted first.
    """
    if body.count(b"[") + body.count(b"{") <= MAX_DEPTH:
        return False
    if b"\\" in body:
        body = _JSON_ESCAPE.sub(b"", body)
    outside_strings = b"".join(body.split(b'"')[::2])
    depth = 0
    for bracket in outside_strings.translate(None, _NOT_BRACKETS):
        depth += 1 if bracket in b"[{" else -1
        if depth > MAX_DEPTH:
            return True
    return False


def check(name: str, value: object) -> None:
    """Checks all numbers and texts in a value.

    Args:
        name: What the value is, for the message.
        value: A number, a text, or a struct or collection of values.

    Raises:
        RefusedError: A number or text is out of bounds.
    """
    if isinstance(value, str):
        check_text(name, value)
    elif isinstance(value, int):
        check_number(name, value, -MAX_INTEGER, MAX_INTEGER)
    elif isinstance(value, float):
        check_number(name, value, -MAX_FLOAT, MAX_FLOAT)
    elif isinstance(value, list | tuple):
        for element in value:
            check(name, element)
    elif isinstance(value, dict):
        for key, element in value.items():
            check(f"a key of {name}", key)
            check(name, element)
    elif isinstance(value, msgspec.Struct):
        for field in value.__struct_fields__:
            check(f"{name}.{field}", getattr(value, field))


def check_number(
    name: str, value: float, low: float, high: float = MAX_INTEGER
) -> None:
    """Checks that a number is from `low` to `high`.

    Raises:
        RefusedError: It is not, or it is not a number.
    """
    if not low <= value <= high:
        raise _malformed(f"{name} is {_shown(value)}, not {low:g} to {high:g}")


def check_text(
    name: str, value: str, max_characters: int = MAX_TEXT_CHARACTERS
) -> None:
    """Checks the length of a text, and that it fits in a line.

    Raises:
        RefusedError: The text is too long or has a control character.
    """
    if len(value) > max_characters:
        raise _malformed(
            f"{name} has {len(value)} characters, above {max_characters}"
        )
    if _CONTROL_CHARACTER.search(value):
        raise _malformed(f"{name} {_shown(value)} has a control character")


def check_name(name: str, value: str) -> None:
    """Checks a name of a record.

    Raises:
        RefusedError: The name is empty, too long or has a control character.
    """
    if not value:
        raise _malformed(f"{name} is empty")
    check_text(name, value)


def check_address(name: str, value: str, allows_ipv6: bool = False) -> None:
    """Checks that a text is the address and port of one host.

    Args:
        name: What the value is, for the message.
        value: IP:PORT, or [IP]:PORT of an IPv6 address.
        allows_ipv6: Whether an IPv6 address is valid too.

    Raises:
        RefusedError: It is not, or no single host can have the address.
    """
    if not is_address(value, allows_ipv6):
        raise _malformed(f"{name} {_shown(value)} is not IP:PORT of a host")


def is_address(value: str, allows_ipv6: bool = False) -> bool:
    """Returns whether a text passes `check_address`."""
    match = _ADDRESS.fullmatch(value)
    if match is None and allows_ipv6 and _is_ipv6_host(value):
        match = _IPV6_ADDRESS.fullmatch(value)
    return match is not None and int(match["port"]) <= MAX_PORT


def _is_ipv6_host(value: str) -> bool:
    try:
        ip = ipaddress.IPv6Address(value.rpartition(":")[0].strip("[]"))
    except ValueError:
        return False
    return not (ip.is_unspecified or ip.is_multicast)


def milliseconds(name: str, seconds: float) -> int:
    """Returns a time in milliseconds, without the rest.

    Raises:
        RefusedError: The time is out of bounds.
    """
    check_number(name, seconds, -MAX_FLOAT / 1000, MAX_FLOAT / 1000)
    return int(seconds * 1000)


def _shown(value: object) -> str:
    return repr(value)[:SHOWN_CHARACTERS]


def _malformed(detail: str) -> errors.RefusedError:
    return errors.refuse(errors.Kind.MALFORMED, detail)
