"""Connects of a process to upstreams, cut as a control file says.

CUT_FILE names the control file. Each of its lines is MODE and TARGETS: MODE is
`refuse`, `reset` or `hang`; TARGETS is `*` or addresses joined by commas, or a
word for the program, which `*` does not mean. Other connects to UPSTREAM_IP
succeed, with the address SOURCE_IP as their source.
"""

import asyncio
import errno
import os
import pathlib
from asyncio import selector_events

ERRORS = {
    "refuse": ConnectionRefusedError(errno.ECONNREFUSED, "refused"),
    "reset": ConnectionResetError(errno.ECONNRESET, "reset"),
    "hang": TimeoutError(errno.ETIMEDOUT, "timed out"),
}
HANG_SECONDS = 120.0

_loop_class = selector_events.BaseSelectorEventLoop
_connect = _loop_class.sock_connect


def mode(address):
    """Returns how connects to an address are cut, or ""."""
    for line in pathlib.Path(os.environ["CUT_FILE"]).read_text().splitlines():
        line_mode, targets = line.split()
        is_any = targets == "*" and address != "CONTROL"
        if is_any or address in targets.split(","):
            return line_mode
    return ""


async def _connect_or_cut(loop, sock, address):
    host, port = address[:2]
    if host == os.environ["UPSTREAM_IP"]:
        cut_mode = mode(f"{host}:{port}")
        if cut_mode == "hang":
            await asyncio.sleep(HANG_SECONDS)
        if cut_mode:
            raise ERRORS[cut_mode]
        sock.bind((os.environ["SOURCE_IP"], 0))
    await _connect(loop, sock, address)


def install():
    _loop_class.sock_connect = _connect_or_cut
