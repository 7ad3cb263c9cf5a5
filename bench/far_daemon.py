"""The daemon with a one-way delay added to calls between regions.

POLLENSEAM_BENCH_FAR holds `IP:PORT=MS` pairs: the delay towards each peer.
"""

import asyncio
import os
from typing import Any

from pollenseam import daemon
from pollenseam import peers


def _delays() -> dict[str, float]:
    pairs = os.environ.get("POLLENSEAM_BENCH_FAR", "")
    found = [pair.split("=") for pair in pairs.split(",") if pair]
    return {address: float(ms) / 1000 for address, ms in found}


def main() -> None:
    """Runs the daemon with slowed calls."""
    delays = _delays()
    call = peers.Peers.call

    async def slow_call(
        self: peers.Peers,
        address: str,
        method: peers.Method,
        request: Any,
        seconds: float,
    ) -> Any:
        delay = delays.get(address, 0.0)
        await asyncio.sleep(delay)
        answer = await call(self, address, method, request, seconds)
        await asyncio.sleep(delay)
        return answer

    peers.Peers.call = slow_call  # type: ignore[method-assign]
    daemon.main()


if __name__ == "__main__":
    main()
