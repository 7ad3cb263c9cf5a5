"""A closed-loop load generator: raw requests on keep-alive connections.

Usage: python -m bench.blaster HOST:PORT REQUEST CONNECTIONS SECONDS

REQUEST is the complete request, with "|" for each line end. The result is
printed as JSON.
"""

import asyncio
import json
import sys
import time


class Client(asyncio.Protocol):
    """Sends one request at a time on one connection.

    Each answer must have a Content-Length header.

    Attributes:
        request: The complete request that is sent repeatedly.
        latencies: List that the latency of each answer, in seconds, is
            appended to.
        transport: Transport of the connection, once it is established.
        sent_at: Time at which the latest request was sent, in seconds.
        buffer: The part of the answer that has been received.
        failures: Number of answers with another status than 200.
        is_stopped: Whether no further request is to be sent.
    """

    def __init__(self, request: bytes, latencies: list[float]) -> None:
        self.request = request
        self.latencies = latencies
        self.transport: asyncio.Transport | None = None
        self.sent_at = 0.0
        self.buffer = b""
        self.failures = 0
        self.is_stopped = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the first request."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.send()

    def send(self) -> None:
        """Sends the next request."""
        assert self.transport is not None
        self.sent_at = time.perf_counter()
        self.transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        """Records a complete answer and sends the next request."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        offset = head.lower().find(b"content-length:")
        length = int(head[offset + 15 :].split(b"\r\n", 1)[0])
        if len(body) < length:
            return
        self.failures += not head.startswith(b"HTTP/1.1 200")
        self.buffer = b""
        self.latencies.append(time.perf_counter() - self.sent_at)
        if not self.is_stopped:
            self.send()


async def generate_load(
    address: str, request: bytes, connections: int, seconds: float
) -> dict[str, float]:
    """Sends requests to one address and returns throughput and latencies.

    Latencies and throughput are measured after a warm-up of 0.5 s. Failures
    are counted from the start.

    Args:
        address: HOST:PORT to connect to.
        request: The complete request.
        connections: Number of connections.
        seconds: Length of the measurement in seconds.

    Returns:
        `per_second`, the answers per second; `p50_ms` and `p99_ms`, the
        latency percentiles in ms; `failures`, the number of answers with
        another status than 200.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    latencies: list[float] = []
    clients = []
    for _ in range(connections):
        _, client = await loop.create_connection(
            lambda: Client(request, latencies), host, int(port)
        )
        clients.append(client)
    await asyncio.sleep(0.5)
    latencies.clear()
    started = time.perf_counter()
    await asyncio.sleep(seconds)
    elapsed = time.perf_counter() - started
    ordered = sorted(latencies)
    for client in clients:
        client.is_stopped = True
        assert client.transport is not None
        client.transport.close()
    count = len(ordered)
    return {
        "per_second": count / elapsed,
        "p50_ms": ordered[count // 2] * 1000,
        "p99_ms": ordered[int(count * 0.99)] * 1000,
        "failures": float(sum(c.failures for c in clients)),
    }


if __name__ == "__main__":
    figures = asyncio.run(
        generate_load(
            sys.argv[1],
            sys.argv[2].encode().replace(b"|", b"\r\n"),
            int(sys.argv[3]),
            float(sys.argv[4]),
        )
    )
    print(json.dumps(figures))
