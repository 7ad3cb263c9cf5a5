"""The daemon with an artificial network delay to chosen peers.

POLLENSEAM_BENCH_FAR is a list of `IP:PORT=MS`, separated by commas: the one-way
delay to each peer address in milliseconds. Other peers have no delay.
"""

import asyncio
import os
from collections.abc import AsyncIterator
from typing import Any

from pollenseam import daemon
from pollenseam import peers


def _parse_delays() -> dict[str, float]:
    pairs = os.environ.get("POLLENSEAM_BENCH_FAR", "")
    fields = [pair.split("=") for pair in pairs.split(",") if pair]
    return {address: float(ms) / 1000 for address, ms in fields}


async def _delay_messages(
    requests: AsyncIterator[Any], delay: float
) -> AsyncIterator[Any]:
    """Yields each message `delay` seconds after it was read.

    Messages are read ahead, so the delay does not limit the rate.
    """
    loop = asyncio.get_running_loop()
    queue: asyncio.Queue[tuple[float, Any]] = asyncio.Queue()

    async def read_ahead() -> None:
        async for request in requests:
            queue.put_nowait((loop.time() + delay, request))

    task = asyncio.create_task(read_ahead())
    try:
        while True:
            at, request = await queue.get()
            await asyncio.sleep(max(0.0, at - loop.time()))
            yield request
    finally:
        task.cancel()


def main() -> None:
    """Runs the daemon with delayed peer calls and streams.

    A call is delayed before the request and after the response; neither delay
    counts towards its time-out.
    """
    delays = _parse_delays()
    call = peers.Client.call

    async def slow_call(
        self: peers.Client,
        address: str,
        method: peers.Method,
        request: Any,
        timeout_seconds: float,
    ) -> Any:
        delay = delays.get(address, 0.0)
        await asyncio.sleep(delay)
        response = await call(self, address, method, request, timeout_seconds)
        await asyncio.sleep(delay)
        return response

    stream = peers.Client.stream

    async def slow_stream(
        self: peers.Client,
        address: str,
        method: peers.Method,
        requests: AsyncIterator[Any],
    ) -> None:
        delay = delays.get(address, 0.0)
        await stream(self, address, method, _delay_messages(requests, delay))

    peers.Client.call = slow_call  # type: ignore[method-assign]
    peers.Client.stream = slow_stream  # type: ignore[method-assign]
    daemon.main()


if __name__ == "__main__":
    main()
