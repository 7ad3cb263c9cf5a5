"""An entry VM in virtual time whose upstreams answer as planned."""

import asyncio
import collections
import contextlib

import multidict
import test_rogue_upstreams

from pollenseam import errors
from pollenseam import hedging
from pollenseam import registry
from pollenseam import vm

SECONDS = 0.1
SLOTS = 3
ROUTE = "r1"


class Answer:
    """What an upstream does with one request.

    Attributes:
        seconds: Time after which it answers.
        status: Status of its answer.
        error: Error of the connection, instead of an answer.
        is_not_run: Whether it declares that it has not run the request.
    """

    def __init__(self, seconds, status=200, error=None, is_not_run=False):
        self.seconds = seconds
        self.status = status
        self.error = error
        self.is_not_run = is_not_run


class Content:

    def __init__(self, body):
        self.body = body

    async def iter_any(self):
        yield self.body


class Response:
    """A response, as far as `sending` uses it."""

    def __init__(self, upstream, answer, call_id):
        self.status = answer.status
        self.reason = "Status"
        pairs = {"X-Request-Id": call_id, "X-Reply-Stamp": "s"}
        if answer.is_not_run:
            pairs["X-Not-Run"] = "1"
        self.headers = multidict.CIMultiDictProxy(multidict.CIMultiDict(pairs))
        self.content_length = 2
        self.content = Content(upstream.encode())

    def release(self):
        pass

    def close(self):
        pass


class Session:
    """Stands for the HTTP session to all upstreams.

    Attributes:
        plan: Returns the answer of an upstream, by its id.
        sent: Upstreams that got a request, with the time.
        cancelled: Upstreams whose request was cancelled, with the time.
        busy_seconds: Time for which upstreams were at work.
        slots: Slots of each upstream; requests wait for one.
    """

    def __init__(self, plan):
        self.plan = plan
        self.sent = []
        self.cancelled = []
        self.busy_seconds = 0.0
        self.slots = collections.defaultdict(lambda: asyncio.Semaphore(SLOTS))

    async def request(self, method, url, headers, trace_request_ctx, **more):
        upstream = f"u{url.port}"
        now = asyncio.get_running_loop().time
        trace_request_ctx("kept")
        self.sent.append((upstream, now()))
        answer = self.plan(upstream)
        try:
            async with self.slots[upstream]:
                await self._work(answer)
        except asyncio.CancelledError:
            self.cancelled.append((upstream, now()))
            raise
        if answer.error is not None:
            raise answer.error
        return Response(upstream, answer, headers["X-Request-Id"])

    async def _work(self, answer):
        now = asyncio.get_running_loop().time
        started = now()
        try:
            await asyncio.sleep(answer.seconds)
        finally:
            self.busy_seconds += now() - started

    async def close(self):
        pass


class World:
    """An entry VM and its upstreams.

    Attributes:
        vm: The entry VM.
        session: The session to its upstreams.
        dispatcher: The VM's dispatcher.
    """

    def __init__(self, entry_vm, session):
        self.vm = entry_vm
        self.session = session
        self.dispatcher = entry_vm.dispatcher

    @property
    def policy(self):
        return self.dispatcher.hedged_sender.policy

    @property
    def hedges(self):
        """Late calls by outcome or reason."""
        counts = self.vm.metrics.hedges.counts
        return {outcome: n for (_, outcome), n in counts.items()}

    @property
    def tries(self):
        counts = self.vm.metrics.attempts.counts
        return {outcome: n for (_, outcome), n in counts.items()}

    def teach(self, seconds=SECONDS, count=200, slow_ratio=0.04):
        """Makes the VM know what answers take: a few 7 times as long."""
        times = self.policy.times.find(ROUTE, True)
        for n in range(count):
            is_slow = n < slow_ratio * count
            times.record(seconds * (7 if is_slow else 1))
        self.vm.work_estimates.seconds_by_route[ROUTE] = seconds
        for _ in range(2000):
            self.policy.allowance.earn(ROUTE, 0.2)
        budget = self.dispatcher._budget("s1")
        for _ in range(1000):
            budget.record_request(self.vm.now())

    async def serve(self, seconds=30.0):
        call = test_rogue_upstreams.make_call(self.vm)
        call.deadline = self.vm.now() + seconds
        try:
            return await self.vm.serve(call)
        except errors.RefusedError as error:
            return error.refusal

    def pool(self):
        return self.vm.pools["s1"]

    def assert_idle(self):
        """Checks that no request is counted as being in progress."""
        for upstream in self.pool().upstreams.values():
            assert upstream.in_flight == 0
            assert not upstream.pending


@contextlib.asynccontextmanager
async def world(monkeypatch, plan, upstreams=3, ratio=0.1, **route):
    """Yields an entry VM with upstreams u1, u2... in virtual time."""
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(vm, "boot_seconds", loop.time)
    entry_vm = test_rogue_upstreams.make_entry_vm("127.0.0.1:1")
    await entry_vm.dispatcher.sender.session.close()
    session = Session(plan)
    entry_vm.dispatcher.sender.session = session
    entry_vm.dispatcher.retry_ratio = 0.2
    entry_vm.options.values[hedging.RATIO.name] = ratio
    records = [
        registry.Upstream(
            f"u{n}", 1, 1, "s1", f"127.0.0.1:{n}", "d1", SLOTS, registry.SERVING
        )
        for n in range(1, upstreams + 1)
    ]
    entry_vm.registry.record_upstreams(3, 0, records)
    entry_vm.registry.upstreams.pop("i1", None)
    entry_vm._rebuild_pools()
    changed = entry_vm.table.find_route("h", "/a/1").route
    changed.timeout_seconds = 30.0
    for name, value in route.items():
        setattr(changed, name, value)
    try:
        yield World(entry_vm, session)
    finally:
        entry_vm.reach_watch.close()
        await entry_vm.relayer.peers.close()
        await entry_vm.dispatcher.close()
