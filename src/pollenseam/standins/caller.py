"""A stand-in caller: a load generator with open-loop arrivals.

Latencies are measured from the planned arrival of a request, so they include
the time by which the generator itself is late.
"""

import asyncio
import collections
import json
import random
import time

import aiohttp
import defopt
from hdrh import histogram

# Upper end of the latency histogram in microseconds (10 minutes).
MAX_LATENCY_US = 600_000_000
# Outcome of a request that no connection was established for.
UNCONNECTED = "unconnected"
MAX_CONNECT_ATTEMPTS = 3


class LoadPlan:
    """The requests to send.

    Attributes:
        host: Host header.
        path: Request target.
        key: Key of the workspace, or "".
        rate: Requests per second; arrivals are a Poisson process.
        seconds: Length of the run in seconds.
        method: HTTP method.
        body: Request body.
        timeout: Seconds after which a request counts as failed.
        headers: Further headers.
        source: Local IP address to connect from, or "" for any.
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
    """The outcomes and latencies of requests.

    Attributes:
        latencies: Histogram of the latencies of answers with status 2xx, in
            microseconds from the planned arrival. A late start of a request
            counts, which avoids coordinated omission.
        answers: Number of requests by outcome: the status, the kind of a
            refusal, or "timeout", "broken" or UNCONNECTED.
        answers_by_vm: Number of requests by the entry VM that answered, ""
            if none did.
        finished: (seconds since the start, outcome) of each request.
    """

    def __init__(self) -> None:
        self.latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
        self.answers: collections.Counter[str] = collections.Counter()
        self.answers_by_vm: collections.Counter[str] = collections.Counter()
        self.finished: list[tuple[float, str]] = []

    @property
    def total(self) -> int:
        """Number of requests, whatever their outcome."""
        return sum(self.answers.values())

    def quantile_ms(self, percent: float) -> float:
        """Returns a percentile of the latencies, in ms.

        Args:
            percent: The percentile, from 0 to 100.
        """
        return float(self.latencies.get_value_at_percentile(percent)) / 1000

    def summary(self) -> dict[str, object]:
        """Returns the counts and latency percentiles for a report."""
        return {
            "total": self.total,
            "answers": dict(self.answers),
            "p50_ms": self.quantile_ms(50),
            "p99_ms": self.quantile_ms(99),
            "p999_ms": self.quantile_ms(99.9),
        }


class EntryChooser:
    """Chooses entry VMs from look-ups, which are cached for their max-age.

    Attributes:
        seeds: Caller addresses of VMs to send the first look-up to.
        service: Name of the service to look up.
        random: Generator of the weighted choices.
        weighted_entries: (caller address, weight) of the entry VMs in the best
            region, or of the seeds if no VM answers.
        ranked_addresses: Caller addresses of all entry VMs of the last look-up,
            the best first.
        deadline: Monotonic time in seconds at which the look-up expires.
    """

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
        """Returns the caller address of an entry VM.

        The address is a weighted choice among the VMs of the best region that
        were not tried. If all of them were, it is the next one of the look-up,
        or an address that was tried before if none is left.

        Args:
            session: Session for look-ups.
            tried: Addresses that have failed for this request.
        """
        if time.monotonic() >= self.deadline:
            async with self._lock:
                if time.monotonic() >= self.deadline:
                    await self._refresh(session)
        untried = [
            entry for entry in self.weighted_entries if entry[0] not in tried
        ]
        if untried:
            weights = [weight for _, weight in untried]
            return self.random.choices(untried, weights)[0][0]
        others = [a for a in self.ranked_addresses if a not in tried]
        return others[0] if others else self.weighted_entries[0][0]

    async def _refresh(self, session: aiohttp.ClientSession) -> None:
        for address in [*self.ranked_addresses, *self.seeds]:
            url = f"http://{address}/.pollenseam/lookup"
            timeout = aiohttp.ClientTimeout(total=1.0)
            try:
                async with session.get(
                    url, params={"service": self.service}, timeout=timeout
                ) as response:
                    body = await response.json()
                    ttl = response.headers["Cache-Control"].partition("=")[2]
                    self._apply_lookup(body["entries"], float(ttl))
                    return
            except (aiohttp.ClientError, OSError, TimeoutError, KeyError):
                continue
        self.weighted_entries = [(seed, 1.0) for seed in self.seeds]
        self.deadline = time.monotonic() + 0.5

    def _apply_lookup(
        self, entries: list[dict[str, object]], max_age: float
    ) -> None:
        if not entries:
            raise KeyError("entries")
        self.ranked_addresses = [str(entry["address"]) for entry in entries]
        best_region = entries[0]["region"]
        best = [e for e in entries if e["region"] == best_region]
        self.weighted_entries = [
            (str(e["address"]), float(str(e["weight"]))) for e in best
        ]
        self.deadline = time.monotonic() + max_age


async def send(
    session: aiohttp.ClientSession, address: str, plan: LoadPlan
) -> tuple[str, str]:
    """Sends one request.

    Args:
        session: Session to send the request in.
        address: Caller address of an entry VM.
        plan: The request to send.

    Returns:
        The outcome, as in Tally.answers, and the name of the VM that answered
        or "".
    """
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
    """Sends requests at planned times, without waiting for answers.

    Args:
        plan: The requests to send.
        chooser: Chooses entry VMs.
        seed: Seed of the arrival times.
        tally: Tally to add outcomes to; a new one by default.

    Returns:
        The tally, after all requests are answered.
    """
    result = tally or Tally()
    arrivals = random.Random(seed)
    started = time.monotonic()
    local_address = (plan.source, 0) if plan.source else None
    connector = aiohttp.TCPConnector(limit=0, local_addr=local_address)
    async with aiohttp.ClientSession(connector=connector) as session:
        async with asyncio.TaskGroup() as group:
            at = 0.0
            while True:
                at += arrivals.expovariate(plan.rate)
                if at >= plan.seconds:
                    break
                delay = started + at - time.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                group.create_task(
                    _send_one(session, plan, chooser, result, started, at)
                )
    return result


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
        # Without a connection the request did not run, so it is safe to send it
        # to another entry VM.
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
        entries: Caller addresses of VMs to look up entry VMs at, separated by
            commas.
        service: Name of the service to look up.
        host: Host header.
        path: Request target.
        key: Key of the workspace.
        rate: Requests per second.
        seconds: Length of the run in seconds.
        seed: Seed of the arrival times.
    """
    plan = LoadPlan(host, path, key, rate, seconds)
    chooser = EntryChooser(entries.split(","), service, seed)
    tally = asyncio.run(run_plan(plan, chooser, seed))
    print(json.dumps(tally.summary(), indent=2))


if __name__ == "__main__":
    defopt.run(run, short={})
