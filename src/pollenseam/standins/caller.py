"""A stand-in caller: open-loop arrivals and corrected latencies."""

import asyncio
import collections
import json
import random
import time

import aiohttp
import defopt
from hdrh import histogram

MAX_LATENCY_US = 600_000_000
UNCONNECTED = "unconnected"
MAX_CONNECT_ATTEMPTS = 3


class LoadPlan:
    """What to send.

    Attributes:
        host: Host header.
        path: Request target.
        key: Key, or "".
        rate: Requests per second; arrivals are a Poisson process.
        seconds: Time to go on for.
        method: HTTP method.
        body: Request body.
        timeout: Seconds after which a request counts as failed.
        headers: Further headers.
        source: Own IP number to call from, or "" for any.
    """

    __slots__ = (
        "host",
        "path",
        "key",
        "rate",
        "seconds",
        "method",
        "body",
        "timeout",
        "headers",
        "source",
    )

    def __init__(
        self,
        host: str,
        path: str,
        key: str,
        rate: float,
        seconds: float,
        method: str = "GET",
        body: bytes = b"",
        timeout: float = 10.0,
        headers: dict[str, str] | None = None,
        source: str = "",
    ) -> None:
        self.host = host
        self.path = path
        self.key = key
        self.rate = rate
        self.seconds = seconds
        self.method = method
        self.body = body
        self.timeout = timeout
        self.headers = headers or {}
        self.source = source


class Tally:
    """What came back.

    Attributes:
        latencies: Microseconds from the planned arrival, so that a late
            start of a request counts (no coordinated omission).
        answers: Count by status, or by kind of a refusal.
        finished: (seconds since the start, outcome) of each request.
    """

    def __init__(self) -> None:
        self.latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        self.answers: collections.Counter[str] = collections.Counter()
        self.answers_by_vm: collections.Counter[str] = collections.Counter()
        self.finished: list[tuple[float, str]] = []

    @property
    def total(self) -> int:
        """Requests sent."""
        return sum(self.answers.values())

    def quantile_ms(self, percent: float) -> float:
        """Returns a quantile of the latency of good answers, in ms."""
        return float(self.latencies.get_value_at_percentile(percent)) / 1000

    def summary(self) -> dict[str, object]:
        """Returns the figures for a report."""
        return {
            "total": self.total,
            "answers": dict(self.answers),
            "p50_ms": self.quantile_ms(50),
            "p99_ms": self.quantile_ms(99),
            "p999_ms": self.quantile_ms(99.9),
        }


class EntryChooser:
    """Chooses entry VMs as look-ups say, and asks again after max-age."""

    def __init__(self, seeds: list[str], service: str, seed: int) -> None:
        self.seeds = seeds
        self.service = service
        self.random = random.Random(seed)
        self.weighted_entries: list[tuple[str, float]] = []
        self.ranked_addresses: list[str] = []
        self.deadline = 0.0
        self._lock = asyncio.Lock()

    async def choose(
        self, session: aiohttp.ClientSession, tried: set[str]
    ) -> str:
        """Returns an entry VM of the nearest region, or the next one left."""
        if time.monotonic() >= self.deadline:
            async with self._lock:
                if time.monotonic() >= self.deadline:
                    await self._refresh(session)
        left = [
            entry for entry in self.weighted_entries if entry[0] not in tried
        ]
        if left:
            weights = [weight for _, weight in left]
            return self.random.choices(left, weights)[0][0]
        rest = [name for name in self.ranked_addresses if name not in tried]
        return rest[0] if rest else self.weighted_entries[0][0]

    async def _refresh(self, session: aiohttp.ClientSession) -> None:
        for address in [*self.ranked_addresses, *self.seeds]:
            url = f"http://{address}/.pollenseam/lookup"
            timeout = aiohttp.ClientTimeout(total=1.0)
            try:
                async with session.get(
                    url, params={"service": self.service}, timeout=timeout
                ) as response:
                    body = await response.json()
                    age = response.headers["Cache-Control"].partition("=")[2]
                    self._apply_lookup(body["entries"], float(age))
                    return
            except (aiohttp.ClientError, OSError, TimeoutError, KeyError):
                continue
        self.weighted_entries = [(seed, 1.0) for seed in self.seeds]
        self.deadline = time.monotonic() + 0.5

    def _apply_lookup(
        self, entries: list[dict[str, object]], age: float
    ) -> None:
        if not entries:
            raise KeyError("entries")
        self.ranked_addresses = [str(entry["address"]) for entry in entries]
        first = entries[0]["region"]
        near = [e for e in entries if e["region"] == first]
        self.weighted_entries = [
            (str(e["address"]), float(str(e["weight"]))) for e in near
        ]
        self.deadline = time.monotonic() + age


async def send(
    session: aiohttp.ClientSession, address: str, plan: LoadPlan
) -> tuple[str, str]:
    """Sends one request; returns its outcome and the VM that answered."""
    headers = {"Host": plan.host, **plan.headers}
    if plan.key:
        headers["Authorization"] = f"Bearer {plan.key}"
    timeout = aiohttp.ClientTimeout(total=plan.timeout)
    try:
        async with session.request(
            plan.method,
            f"http://{address}{plan.path}",
            headers=headers,
            data=plan.body or None,
            timeout=timeout,
        ) as response:
            body = await response.read()
            vm = response.headers.get("Pollenseam-Vm", "")
            if response.headers.get("Content-Type", "").startswith(
                "application/problem"
            ):
                return str(json.loads(body)["kind"]), vm
            return str(response.status), vm
    except TimeoutError:
        return "timeout", ""
    except aiohttp.ClientConnectorError:
        return UNCONNECTED, ""
    except (aiohttp.ClientError, OSError):
        return "broken", ""


async def run_plan(
    plan: LoadPlan, chooser: EntryChooser, seed: int, tally: Tally | None = None
) -> Tally:
    """Sends requests at planned times, whether or not answers came."""
    found = tally or Tally()
    source = random.Random(seed)
    started = time.monotonic()
    local = (plan.source, 0) if plan.source else None
    connector = aiohttp.TCPConnector(limit=0, local_addr=local)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with asyncio.TaskGroup() as group:
            at = 0.0
            while True:
                at += source.expovariate(plan.rate)
                if at >= plan.seconds:
                    break
                delay = started + at - time.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                group.create_task(
                    _send_one(session, plan, chooser, found, started, at)
                )
    return found


async def _send_one(
    session: aiohttp.ClientSession,
    plan: LoadPlan,
    chooser: EntryChooser,
    tally: Tally,
    started: float,
    at: float,
) -> None:
    outcome, vm = UNCONNECTED, ""
    tried: set[str] = set()
    for _ in range(MAX_CONNECT_ATTEMPTS):
        # What was never connected did not run: another entry is safe.
        address = await chooser.choose(session, tried)
        tried.add(address)
        outcome, vm = await send(session, address, plan)
        if outcome != UNCONNECTED:
            break
    elapsed = time.monotonic() - started - at
    tally.answers[outcome] += 1
    tally.answers_by_vm[vm] += 1
    tally.finished.append((at + elapsed, outcome))
    if outcome.startswith("2"):
        tally.latencies.record_value(max(1, int(elapsed * 1e6)))


def run(
    *,
    entries: str,
    service: str,
    host: str,
    path: str = "/",
    key: str = "",
    rate: float = 10.0,
    seconds: float = 5.0,
    seed: int = 0,
) -> None:
    """Sends open-loop requests and prints a summary as JSON.

    Args:
        entries: Caller addresses to ask for look-ups.
        service: Service to look up.
        host: Host header.
        path: Request target.
        key: The workspace's key.
        rate: Requests per second.
        seconds: Time to go on for.
        seed: Seed of the arrivals.
    """
    plan = LoadPlan(host, path, key, rate, seconds)
    chooser = EntryChooser(entries.split(","), service, seed)
    tally = asyncio.run(run_plan(plan, chooser, seed))
    print(json.dumps(tally.summary(), indent=2))


if __name__ == "__main__":
    defopt.run(run, short={})
