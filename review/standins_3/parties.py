"""Stand-ins for servers, clients and the operator, after the users' pages."""

import asyncio
import contextlib
import itertools
import json
import random
import time

import deployment
import http1

HOST = "ficu95.example"
PREFIX = "/lohu930/"
TENANT = "huka270"
KEY = "xd9dnn2ctnfzs989anu6"
DEADLINE_MS = 3000
# About heartbeat_s.
HEARTBEAT_SECONDS = 1.4
RETRY_SECONDS = 0.3
CALL_SECONDS = 1.0
COLD_SECONDS = 3.0
# Time for which a server serves on after it was told that it may go: drain_s
# and a little longer.
DRAIN_SECONDS = 3.5
COLD_PER_SECOND = 2.9
HEALTH_PATH = "/health"
QUEUE_LENGTH = 9
# A rate well above that, at which a cold server crashes.
CRASH_PER_SECOND = 5 * COLD_PER_SECOND
WORK_SECONDS = 0.04


def initial_state(service, kind="unsafe", timeout_seconds=1.2):
    """Returns the first desired state: a tenant, a service and a route."""
    return {
        "upsert": {
            "tenants": [
                {
                    "name": TENANT,
                    "api_keys": [KEY],
                    "priority": 1,
                    "rate_per_s": 0,
                    "burst": 0,
                    "home_regions": [],
                    "version": "r1",
                }
            ],
            "services": [
                {
                    "name": service,
                    "health_path": HEALTH_PATH,
                    "max_conns": 390,
                    "protocol": "h1",
                    "tls": False,
                    "cold_start_s": COLD_SECONDS,
                    "cold_per_s": COLD_PER_SECOND,
                    "version": "r1",
                }
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
                "version": "r1",
            },
            "hosts": [
                {
                    "host": HOST,
                    "paths": [
                        {
                            "name": "r-427eya6",
                            "path_prefix": PREFIX,
                            "kind": kind,
                            "timeout_s": timeout_seconds,
                            "latency_target_s": 0.5,
                            "priority": 1,
                            "service": service,
                            "max_attempts": 2,
                            "public": False,
                            "sticky": True,
                            "home_regions": [],
                            "version": "r1",
                        }
                    ],
                }
            ],
        },
        "delete": {"routes": []},
    }


async def call_control(system, name, subject="", body=None):
    """Calls up to three core machines, drawn by lot, until one answers.

    Returns:
        Status and body; 0 and b"" if none has answered.
    """
    data = b"" if body is None else json.dumps(body).encode()
    request = (
        f"POST /v1/rpc?call={name}&of={subject} HTTP/1.1\r\n"
        "Host: control\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    ).encode() + data
    for machine in random.sample(system.cores, min(3, len(system.cores))):
        with contextlib.suppress(OSError, TimeoutError, EOFError):
            status, _, answer = await http1.call(
                machine.ip, deployment.CONTROL_PORT, request, CALL_SECONDS
            )
            if status < 500 and status not in (408, 429):
                return status, answer
    return 0, b""


async def give_order(system, name, subject="", body=None):
    """Sends an order until it is acknowledged."""
    deadline = time.monotonic() + deployment.START_SECONDS
    while time.monotonic() < deadline:
        status, answer = await call_control(system, name, subject, body)
        system.record("order", f"{name} {subject} -> {status}")
        if status == 200:
            return
        if status:
            raise deployment.CannotRunError(f"{name}: {status} {answer!r}")
        await asyncio.sleep(RETRY_SECONDS)
    raise deployment.CannotRunError(f"{name}: no acknowledgement")


class Server:
    """One boot of a server.

    It runs `slots` requests at a time and queues QUEUE_LENGTH more. It checks
    in at its start and about every heartbeat_s, at once again if nobody
    acknowledged it. While it is cold, it crashes at CRASH_PER_SECOND, with what
    it has taken.
    """

    def __init__(
        self, system, id, service, ip, port=0, zone="kl-a", answer_bytes=0
    ):
        self.system = system
        self.answer = b"x" * answer_bytes
        self.zone = zone
        self.id = id
        self.service = service
        self.ip = ip
        self.port = port
        self.work_seconds = WORK_SECONDS
        self.slots = 3
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.cold_until = 0.0
        self.arrivals = []
        self.acknowledged_at = None
        self.free_slots = asyncio.Semaphore(self.slots)
        self.waiting = 0
        self.taken = set()
        self.lost = set()
        self.writers = set()
        self.is_up = False
        self.listener = None
        self.beating = None

    async def start(self):
        """Starts to serve, cold, and to check in."""
        self.listener = await asyncio.start_server(
            self._serve, self.ip, self.port
        )
        self.port = self.listener.sockets[0].getsockname()[1]
        self.is_up = True
        self.cold_until = self.system.now() + COLD_SECONDS
        self.system.record("server", f"{self.id} starts at {self.ip}")
        self.beating = asyncio.create_task(self._beat())

    async def crash(self):
        """Ends at once: all connections are reset, none is accepted."""
        self.system.record("server", f"{self.id} ends")
        self.lost |= self.taken
        self.is_up = False
        self.beating.cancel()
        self.listener.close()
        for writer in self.writers:
            writer.transport.abort()

    async def become_cold(self):
        """Becomes cold just after a check-in; the next one says so."""
        checked_in = self.sequence
        while self.sequence == checked_in:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        self.cold_until = self.system.now() + COLD_SECONDS
        self.system.record("server", f"{self.id} becomes cold")

    async def leave(self):
        """Drains, gives notice and ends, as a planned end goes."""
        if not self.is_up:
            return
        self.system.record("server", f"{self.id} drains")
        self.state = "draining"
        self.beating.cancel()
        while await self._check_in() != 200:
            await asyncio.sleep(RETRY_SECONDS)
        await asyncio.sleep(DRAIN_SECONDS)
        await give_order(
            self.system, "instances.leave", self.id, {"born": self.born}
        )
        await self.crash()

    async def _beat(self):
        while True:
            if await self._check_in() == 200:
                await asyncio.sleep(HEARTBEAT_SECONDS)
            else:
                await asyncio.sleep(RETRY_SECONDS)

    async def _check_in(self):
        """Checks in once; returns the status, 0 without an answer."""
        self.sequence += 1
        left = max(0.0, self.cold_until - self.system.now())
        status, _ = await call_control(
            self.system,
            "instances.beat",
            self.id,
            {
                "addr": f"{self.ip}:{self.port}",
                "born": self.born,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": self.slots,
                },
                "status": {
                    "state": self.state,
                    "seq": self.sequence,
                    "cold_left_s": round(left, 3),
                },
            },
        )
        if status == 200 and self.acknowledged_at is None:
            self.acknowledged_at = self.system.now()
            self.system.record(
                "server", f"{self.id} checked in, cold for {left:.2f} s"
            )
        return status

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(OSError, EOFError):
            while True:
                head = await http1.read_head(reader)
                body = await http1.read_body(reader, head)
                writer.write(await self._answer(head, body))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _answer_health(self):
        """Answers a request to the health path; none counts as work."""
        lines = [f"X-Instance-Id: {self.id}"]
        if self.waiting >= QUEUE_LENGTH:
            lines.append("X-Not-Run: 1")
            return _response("503 Service Unavailable", lines)
        self.waiting += 1
        async with self.free_slots:
            self.waiting -= 1
        left = max(0.0, self.cold_until - self.system.now())
        lines.append(f"X-Cold-Ms: {left * 1000:.0f}")
        lines.append(self._load_line())
        if self.state != "ready":
            return _response("503 Service Unavailable", lines)
        return _response("200 OK", lines)

    def _load_line(self):
        running = self.slots - self.free_slots._value
        return f"X-Server-Load: {running},{self.waiting},{self.slots}"

    async def _answer(self, head, body):
        if head.words[:2] == ["GET", HEALTH_PATH]:
            return await self._answer_health()
        id = head.headers.get("x-request-id", "")
        lines = [f"X-Request-Id: {id}"]
        if head.headers.get("x-expect-instance") != self.id:
            lines.append("X-Not-Run: 1")
            return _response("421 Misdirected Request", lines)
        self.arrivals.append((self.system.sent_at[id], self.system.now()))
        self.system.record("arrived", f"{self.id} {id}")
        if self.waiting >= QUEUE_LENGTH:
            lines.append("X-Not-Run: 1")
            return _response("503 Service Unavailable", lines)
        self.taken.add(id)
        if self._is_overrun():
            await self.crash()
            raise EOFError
        self.waiting += 1
        async with self.free_slots:
            self.waiting -= 1
            self.system.record("run", f"{self.id} {id}")
            await asyncio.sleep(self.work_seconds)
        self.taken.discard(id)
        lines.append(f"X-Reply-Stamp: {self.id}.{self.born}.{id}")
        lines.append(self._load_line())
        return _response("200 OK", lines, self.answer or b"done " + body)

    def _is_overrun(self):
        """Returns whether a cold server has more requests than it bears."""
        now = self.system.now()
        recent = [t for _, t in self.arrivals if t > now - 1.0]
        return now < self.cold_until and len(recent) > CRASH_PER_SECOND

    def most_in_a_second(self, first, last):
        """Returns the most requests that one second of a span of time saw.

        Counted are those that were sent and arrived inside that second.

        Args:
            first: Begin of the span, in seconds since the case began.
            last: End of the span.
        """
        times = [t for t in self.arrivals if first <= t[0] and t[1] <= last]
        return max(
            (
                sum(
                    start <= sent and arrived < start + 1.0
                    for sent, arrived in times
                )
                for start, _ in times
            ),
            default=0,
        )


def _response(status, lines, body=b""):
    lines = [f"HTTP/1.1 {status}", *lines, f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


def request(method, id, deadline_ms=DEADLINE_MS):
    """Returns a client's request without a body."""
    return (
        f"{method} {PREFIX}{id} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        f"Cookie: X-Affinity-Key={random.randrange(24)}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


class Clients:
    """Clients that send requests at a rate, one to each front machine in turn.

    They don't repeat what is refused or fails.
    """

    def __init__(self, system, per_second):
        self.system = system
        self.interval = 1.0 / per_second
        self.statuses = {}
        self.numbers = itertools.count(1)
        self.pending = set()
        self.sending = asyncio.create_task(self._send_all())

    async def stop(self):
        """Sends no more, and waits for the answers."""
        self.sending.cancel()
        await asyncio.gather(*self.pending)

    async def _send_all(self):
        due = time.monotonic()
        for machine in itertools.cycle(self.system.fronts):
            task = asyncio.create_task(self._send(machine))
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
            due += self.interval
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def _send(self, machine):
        id = f"{next(self.numbers):016x}"
        self.system.sent_at[id] = self.system.now()
        self.system.record("sent", f"{id} to {machine.name}")
        try:
            status, _, _ = await http1.call(
                machine.ip,
                deployment.FRONT_PORT,
                request("POST", id),
                DEADLINE_MS / 1000,
            )
        except (OSError, TimeoutError, EOFError) as error:
            status = type(error).__name__
        self.system.record("answered", f"{id} {status}")
        self.statuses[status] = self.statuses.get(status, 0) + 1


async def wait_until_ready(system):
    """Waits until all front machines say that they are ready."""
    request = b"GET /v1/ready HTTP/1.1\r\nHost: front\r\n\r\n"
    deadline = time.monotonic() + deployment.START_SECONDS
    for machine in system.fronts:
        while True:
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                status, _, _ = await http1.call(
                    machine.ip, deployment.READY_PORT, request, CALL_SECONDS
                )
                if status == 200:
                    break
            if time.monotonic() > deadline:
                raise deployment.CannotRunError(f"{machine.name} isn't ready")
            await asyncio.sleep(0.1)
