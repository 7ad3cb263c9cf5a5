"""platform/program.py, with connects to upstreams as a control file says.

CUT_FILE names the control file. Each of its lines is MODE and TARGETS: MODE is
`refuse`, `reset` or `hang`; TARGETS is `*` or addresses joined by commas. Other
connects to UPSTREAM_IP succeed, with the address SOURCE_IP as their source.
With the line `hang CONTROL`, calls to CONTROL_IPS get no answer.
"""

import asyncio
import errno
import os
import pathlib
from asyncio import selector_events

import program

from pollenseam import errors
from pollenseam import peers

ERRORS = {
    "refuse": ConnectionRefusedError(errno.ECONNREFUSED, "refused"),
    "reset": ConnectionResetError(errno.ECONNRESET, "reset"),
    "hang": TimeoutError(errno.ETIMEDOUT, "timed out"),
}
HANG_SECONDS = 120.0

_loop_class = selector_events.BaseSelectorEventLoop
_connect = _loop_class.sock_connect
_call = peers.Client.call


def _mode(address):
    for line in pathlib.Path(os.environ["CUT_FILE"]).read_text().splitlines():
        mode, targets = line.split()
        is_any = targets == "*" and address != "CONTROL"
        if is_any or address in targets.split(","):
            return mode
    return ""


async def _connect_or_cut(loop, sock, address):
    host, port = address[:2]
    if host == os.environ["UPSTREAM_IP"]:
        mode = _mode(f"{host}:{port}")
        if mode == "hang":
            await asyncio.sleep(HANG_SECONDS)
        if mode:
            raise ERRORS[mode]
        sock.bind((os.environ["SOURCE_IP"], 0))
    await _connect(loop, sock, address)


async def _call_or_cut(client, address, method, request, timeout_seconds):
    is_control = address.rpartition(":")[0] in os.environ["CONTROL_IPS"].split()
    if is_control and _mode("CONTROL"):
        await asyncio.sleep(timeout_seconds)
        raise errors.UnreachableError(f"{address}: cut", "deadline_exceeded")
    return await _call(client, address, method, request, timeout_seconds)


if __name__ == "__main__":
    _loop_class.sock_connect = _connect_or_cut
    peers.Client.call = _call_or_cut
    program.main()
