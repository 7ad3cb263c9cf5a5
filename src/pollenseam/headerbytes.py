"""Writes heads of HTTP messages with the bytes that were received.

aiohttp decodes heads as UTF-8 and keeps other bytes as surrogates, but leaves
these out of the heads that it writes.
"""

from typing import Any

import multidict
from aiohttp import http_writer

_aiohttp_serialize: Any = http_writer._serialize_headers


def serialize(status_line: str, headers: multidict.CIMultiDict[str]) -> bytes:
    """Returns a head as bytes.

    Args:
        status_line: Request line or status line.
        headers: Headers, with surrogates for bytes that are not UTF-8.

    Raises:
        ValueError: A line contains a character that would end it.
    """
    checked: bytes = _aiohttp_serialize(status_line, headers)
    if status_line.isascii() and all(v.isascii() for v in headers.values()):
        return checked
    lines = [status_line]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("utf-8", "surrogateescape")


def install() -> None:
    """Makes aiohttp write heads with `serialize`, in this process."""
    writer: Any = http_writer
    writer._serialize_headers = serialize
