"""A stand-in upstream for tests and benchmarks.

Its number of slots, work time, cold start, errors, shedding and load reports
can be set, and it drains on SIGTERM.
"""

import asyncio
import collections
import json
import random
import signal
import sys
import time

import aiohttp
import defopt
from aiohttp import web

ANNOUNCE_TTL_MS = 3000
# Requests after which the stand-in is no longer cold.
COLD_REQUESTS = 20
LARGE_CHUNK = b"x" * 65536


class Behaviour:
    """Settings of a stand-in upstream.

    Attributes:
        slots: Requests that run at the same time.
        work_ms: Mean time of a request in ms; times are uniform between 0.5
            and 1.5 times the mean.
        cold_ms: Time in ms added to the first request; it falls linearly to 0
            over COLD_REQUESTS.
        error_ratio: Part of the requests answered with status 500, without
            the work time.
        load_lag_ms: Age in ms of the reported load.
        reported_load: Load to report instead of the true one, or None.
        sheds: Whether requests beyond `slots` are shed; otherwise they queue.
        pause: Retry-After of a response that sheds a request, or "".
    """

    __slots__ = (
        "slots",
        "work_ms",
        "cold_ms",
        "error_ratio",
        "load_lag_ms",
        "reported_load",
        "sheds",
        "pause",
    )

    def __init__(
        self,
        slots: int = 3,
        work_ms: float = 10.0,
        cold_ms: float = 0.0,
        error_ratio: float = 0.0,
        load_lag_ms: float = 0.0,
        reported_load: float | None = None,
        sheds: bool = True,
        pause: str = "",
    ) -> None:
        self.slots = slots
        self.work_ms = work_ms
        self.cold_ms = cold_ms
        self.error_ratio = error_ratio
        self.load_lag_ms = load_lag_ms
        self.reported_load = reported_load
        self.sheds = sheds
        self.pause = pause


class Upstream:
    """A stand-in upstream server.

    Attributes:
        name: Name in announcements and answers.
        behaviour: Settings of the stand-in.
        running: Requests that run now.
        max_running: The most requests that ran at the same time.
        total: Requests that started to run.
        runs: Requests that started to run, by Idempotency-Key or, without one,
            by X-Request-Id.
        seen: Header names and values of the last 50 requests.
        cut_off: Requests that were cancelled while they ran.
        random: Generator of work times and errors.
        state: State on the health page, "serving" or "leaving".
    """

    def __init__(self, name: str, behaviour: Behaviour, seed: int = 0) -> None:
        self.name = name
        self.behaviour = behaviour
        self.running = 0
        self.max_running = 0
        self.total = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.seen: collections.deque[list[list[str]]] = collections.deque(
            maxlen=50
        )
        self.cut_off = 0
        self.random = random.Random(seed)
        self.state = "serving"
        self._loads: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=10_000
        )
        self._slots = asyncio.Semaphore(behaviour.slots)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request.

        The pages /health, /load and /runs take no slot. The last segment of
        other paths selects the answer: see _PATH_HANDLERS, "echo" for the
        request body, and a JSON object for everything else.
        """
        page = request.path
        if page == "/health":
            return web.json_response({"state": self.state})
        if page == "/load":
            return web.json_response({"load": self.load()})
        if page == "/runs":
            return web.json_response(self.report())
        response = await self._serve(request)
        if self.state == "leaving" and not response.prepared:
            response.headers["Pollenseam-Leaving"] = "1"
        return response

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.seen.append([[k, v] for k, v in request.headers.items()])
        if self.running >= self.behaviour.slots and self.behaviour.sheds:
            headers = {"Pollenseam-Shed": "yes"}
            if self.behaviour.pause:
                headers["Retry-After"] = self.behaviour.pause
            return web.Response(status=503, headers=headers)
        async with self._slots:
            return await self._run(request)

    def report(self) -> dict[str, object]:
        """Returns the counters, as on the page /runs."""
        return {
            "name": self.name,
            "total": self.total,
            "most": self.max_running,
            "running": self.running,
            "cut_off": self.cut_off,
            "runs": self.runs,
            "seen": list(self.seen),
        }

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        self.running += 1
        self.total += 1
        self.max_running = max(self.max_running, self.running)
        self._record_load()
        request_id = request.headers.get(
            "Idempotency-Key"
        ) or request.headers.get("X-Request-Id")
        if request_id:
            self.runs[request_id] += 1
        try:
            return await self._answer(request)
        except asyncio.CancelledError:
            self.cut_off += 1
            raise
        finally:
            self.running -= 1
            self._record_load()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        if self.random.random() < self.behaviour.error_ratio:
            return web.Response(status=500, text="broken")
        await asyncio.sleep(self._work_seconds(request))
        handler = _PATH_HANDLERS.get(request.path.rpartition("/")[2])
        if handler is not None:
            return await handler(request)
        if request.path.endswith("/echo"):
            return web.Response(body=body, headers={"X-Upstream": self.name})
        return web.json_response(
            {"upstream": self.name, "run": self.total, "bytes": len(body)}
        )

    def _work_seconds(self, request: web.BaseRequest) -> float:
        requested_ms = request.headers.get("X-Work-Ms")
        if requested_ms is not None:
            return float(requested_ms) / 1000
        mean = self.behaviour.work_ms
        warm = min(1.0, self.total / COLD_REQUESTS)
        cold = self.behaviour.cold_ms * (1 - warm)
        return (self.random.uniform(0.5, 1.5) * mean + cold) / 1000

    def _record_load(self) -> None:
        self._loads.append((time.monotonic(), self.running))

    def load(self) -> float:
        """Returns the load to report.

        It is `reported_load` if that is set, or else the number of requests
        that ran `load_lag_ms` ago.
        """
        if self.behaviour.reported_load is not None:
            return self.behaviour.reported_load
        as_of = time.monotonic() - self.behaviour.load_lag_ms / 1000
        load = 0
        for at, running in self._loads:
            if at > as_of:
                break
            load = running
        return float(load)


async def _send_truncated(request: web.BaseRequest) -> web.StreamResponse:
    response = web.StreamResponse()
    response.content_length = 1000
    await response.prepare(request)
    await response.write(b"half")
    assert request.transport is not None
    request.transport.abort()
    return response


async def _abort_connection(request: web.BaseRequest) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


async def _send_truncated_chunked(
    request: web.BaseRequest,
) -> web.StreamResponse:
    response = web.StreamResponse()
    response.enable_chunked_encoding()
    await response.prepare(request)
    await response.write(b"half")
    await asyncio.sleep(0.05)
    assert request.transport is not None
    request.transport.abort()
    return response


async def _send_large(request: web.BaseRequest) -> web.StreamResponse:
    response = web.StreamResponse()
    response.enable_chunked_encoding()
    await response.prepare(request)
    for _ in range(int(request.query.get("chunks", "64"))):
        await response.write(LARGE_CHUNK)
    await response.write_eof()
    return response


async def _send_no_content(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=204)


_PATH_HANDLERS = {
    "cut": _send_truncated,
    "cut-chunked": _send_truncated_chunked,
    "reset": _abort_connection,
    "big": _send_large,
    "empty": _send_no_content,
}


class Announcer:
    """Announces a stand-in to entry VMs of its failure domain.

    Attributes:
        body: Fields of the announcement, except state and load.
        addresses: Caller addresses of entry VMs, tried in order.
        key: Key of the service.
        session: HTTP session for the announcements.
        last_status: Status of the last answer, or 0 before the first one.
    """

    def __init__(
        self, body: dict[str, object], addresses: list[str], key: str
    ) -> None:
        self.body = body
        self.addresses = addresses
        self.key = key
        self.session = aiohttp.ClientSession()
        self.last_status = 0

    async def announce(self, state: str, load: float) -> bool:
        """Sends one announcement to the first VM that accepts it.

        Args:
            state: State of the upstream, "serving" or "leaving".
            load: Load to report.

        Returns:
            Whether a VM accepted the announcement.
        """
        body = {**self.body, "state": state, "load": load}
        headers = {"Authorization": f"Bearer {self.key}"}
        for address in self.addresses:
            url = f"http://{address}/.pollenseam/announce"
            timeout = aiohttp.ClientTimeout(total=1.0)
            try:
                async with self.session.post(
                    url, json=body, headers=headers, timeout=timeout
                ) as response:
                    self.last_status = response.status
                    if response.status == 200:
                        return True
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
        return False


async def _serve(
    stand_in: Upstream, announcer: Announcer, host: str, port: int
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    server = web.Server(
        stand_in.handle, handler_cancellation=True, access_log=None
    )
    listener = await loop.create_server(server, host, port, backlog=512)
    while not stop.is_set():
        accepted = await announcer.announce("serving", stand_in.load())
        try:
            async with asyncio.timeout(0.5 if accepted else 0.2):
                await stop.wait()
        except TimeoutError:
            continue
    stand_in.state = "leaving"
    deadline = time.monotonic() + 20
    earliest_end = time.monotonic() + 3.0
    while time.monotonic() < deadline:
        await announcer.announce("leaving", stand_in.load())
        if stand_in.running == 0 and time.monotonic() > earliest_end:
            break
        await asyncio.sleep(0.2)
    listener.close()
    await server.shutdown(1.0)
    await announcer.session.close()


def run(
    *,
    name: str,
    service: str,
    address: str,
    region: str,
    failure_domain: str,
    announce_to: str,
    key: str,
    slots: int = 3,
    connections: int = 400,
    work_ms: float = 10.0,
    cold_ms: float = 0.0,
    error_ratio: float = 0.0,
    load_lag_ms: float = 0.0,
    reported_load: float = -1.0,
    queues: bool = False,
    seed: int = 0,
) -> None:
    """Runs a stand-in upstream until SIGTERM, then drains it.

    Args:
        name: Name of the upstream.
        service: Name of the service to announce.
        address: IP:PORT to serve on.
        region: Region of the upstream.
        failure_domain: Failure domain of the upstream.
        announce_to: Caller addresses of entry VMs, separated by commas.
        key: Key of the service.
        slots: Requests that run at the same time.
        connections: Number of connections to announce.
        work_ms: Mean time of a request in ms.
        cold_ms: Extra time of the first request in ms; it falls to 0 over the
            next requests.
        error_ratio: Part of the requests answered with status 500 at once.
        load_lag_ms: Age in ms of the reported load.
        reported_load: Load to report; the true one if below 0.
        queues: Queue requests beyond the slots instead of shedding them.
        seed: Seed of work times and errors.
    """
    behaviour = Behaviour(
        slots,
        work_ms,
        cold_ms,
        error_ratio,
        load_lag_ms,
        None if reported_load < 0 else reported_load,
        not queues,
    )
    host, _, port = address.rpartition(":")

    async def main() -> None:
        stand_in = Upstream(name, behaviour, seed)
        body: dict[str, object] = {
            "service": service,
            "upstream": name,
            "address": address,
            "region": region,
            "failure_domain": failure_domain,
            "slots": slots,
            "connections": connections,
            "incarnation": time.time_ns() // 1_000_000,
            "ttl_ms": ANNOUNCE_TTL_MS,
        }
        announcer = Announcer(body, announce_to.split(","), key)
        await _serve(stand_in, announcer, host, int(port))
        print(json.dumps(stand_in.report()), file=sys.stderr)

    asyncio.run(main())


if __name__ == "__main__":
    defopt.run(run, short={})
