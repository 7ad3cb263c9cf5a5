"""A closed-loop load generator: raw requests on keep-alive connections."""

import asyncio
import json
import sys
import time


class Client(asyncio.Protocol):
    """Sends one request after the other on one connection."""

    def __init__(self, request: bytes, latencies: list[float]) -> None:
        self.request = request
        self.latencies = latencies
        self.transport: asyncio.Transport | None = None
        self.sent_at = 0.0
        self.buffer = b""
        self.failures = 0
        self.is_stopped = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.send()

    def send(self) -> None:
        """Sends the next request."""
        assert self.transport is not None
        self.sent_at = time.perf_counter()
        self.transport.write(self.request)

    def data_received(self, data: bytes) -> None:
        """Takes in an answer with a declared length."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        place = head.lower().find(b"content-length:")
        length = int(head[place + 15 :].split(b"\r\n", 1)[0])
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
    """Returns throughput and latencies of one target."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    times: list[float] = []
    clients = []
    for _ in range(connections):
        _, client = await loop.create_connection(
            lambda: Client(request, times), host, int(port)
        )
        clients.append(client)
    await asyncio.sleep(0.5)
    times.clear()
    started = time.perf_counter()
    await asyncio.sleep(seconds)
    elapsed = time.perf_counter() - started
    done = sorted(times)
    for client in clients:
        client.is_stopped = True
        assert client.transport is not None
        client.transport.close()
    count = len(done)
    return {
        "per_second": count / elapsed,
        "p50_ms": done[count // 2] * 1000,
        "p99_ms": done[int(count * 0.99)] * 1000,
        "failures": float(sum(c.failures for c in clients)),
    }


if __name__ == "__main__":
    found = asyncio.run(
        generate_load(
            sys.argv[1],
            sys.argv[2].encode().replace(b"|", b"\r\n"),
            int(sys.argv[3]),
            float(sys.argv[4]),
        )
    )
    print(json.dumps(found))
