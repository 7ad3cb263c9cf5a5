"""The daemon with a one-way delay added to calls between regions.

POLLENSEAM_BENCH_FAR holds `IP:PORT=MS` pairs: the delay towards each peer.
"""

import asyncio
import os
from collections.abc import AsyncIterator
from typing import Any

from pollenseam import daemon
from pollenseam import peers


def _parse_delays() -> dict[str, float]:
    pairs = os.environ.get("POLLENSEAM_BENCH_FAR", "")
    found = [pair.split("=") for pair in pairs.split(",") if pair]
    return {address: float(ms) / 1000 for address, ms in found}


async def _delay_messages(
    requests: AsyncIterator[Any], delay: float
) -> AsyncIterator[Any]:
    """Yields each message `delay` seconds later, without holding up others."""
    loop = asyncio.get_running_loop()
    queue: asyncio.Queue[tuple[float, Any]] = asyncio.Queue()

    async def fill() -> None:
        async for request in requests:
            queue.put_nowait((loop.time() + delay, request))

    task = asyncio.create_task(fill())
    try:
        while True:
            at, request = await queue.get()
            await asyncio.sleep(max(0.0, at - loop.time()))
            yield request
    finally:
        task.cancel()


def main() -> None:
    """Runs the daemon with slowed calls."""
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
        answer = await call(self, address, method, request, timeout_seconds)
        await asyncio.sleep(delay)
        return answer

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
