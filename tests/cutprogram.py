"""platform/program.py, with connects to upstreams cut by `cutconnects`.

With the line `hang CONTROL` in the control file, calls to the addresses of
CONTROL_IPS get no answer.
"""

import asyncio
import os

import cutconnects
import program

from pollenseam import errors
from pollenseam import peers

_call = peers.Client.call


async def _call_or_cut(client, address, method, request, timeout_seconds):
    is_control = address.rpartition(":")[0] in os.environ["CONTROL_IPS"].split()
    if is_control and cutconnects.mode("CONTROL"):
        await asyncio.sleep(timeout_seconds)
        raise errors.UnreachableError(f"{address}: cut", "deadline_exceeded")
    return await _call(client, address, method, request, timeout_seconds)


if __name__ == "__main__":
    cutconnects.install()
    peers.Client.call = _call_or_cut
    program.main()
