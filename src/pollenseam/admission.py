"""Waiting at an entry VM: for a token of a rate, for a slot upstream."""

import asyncio

from pollenseam import buckets
from pollenseam import catalog
from pollenseam import errors
from pollenseam import queues
from pollenseam import traces
from pollenseam import upstreams
from pollenseam import vm

DISPATCH_INTERVAL_SECONDS = 0.01
MIN_POLL_SECONDS = 0.001
MAX_POLL_SECONDS = 0.01
MAX_TOKEN_WAITERS = 1024


class Admission:
    """Admits requests to workspaces' rates and to upstreams' slots.

    Attributes:
        vm: The VM's view.
        queues: Requests that wait for a slot, by service path.
    """

    def __init__(self, local_vm: vm.Vm) -> None:
        self.vm = local_vm
        self.queues: dict[str, queues.FairQueue] = {}
        self._token_locks: dict[str, asyncio.Lock] = {}

    async def run(self) -> None:
        """Serves waiters when time alone makes room, until cancelled."""
        while True:
            await asyncio.sleep(DISPATCH_INTERVAL_SECONDS)
            self.vm.trace.flush()
            self.vm.refresh_pools()
            for service, queue in self.queues.items():
                if queue.count:
                    self.dispatch(service)

    # Rates.

    async def take_token(self, resource: str, deadline: float) -> None:
        """Takes a token of a workspace's rate, waiting for it if need be.

        Raises:
            RefusedError: None was there before `deadline`.
        """
        own = self.vm
        now = own.now()
        account = own.book.account(resource, now)
        account.demand.count += 1
        if account.waiting == 0 and account.bucket.take(now):
            self._trace_taken(resource, now)
            return
        if account.waiting >= MAX_TOKEN_WAITERS:
            raise self._over_rate(resource, account)
        account.waiting += 1
        own.lease_wake.set()
        turn = self._token_locks.setdefault(resource, asyncio.Lock())
        try:
            async with asyncio.timeout_at(vm.loop_deadline(deadline)):
                async with turn:
                    await self._poll_token(resource, account.bucket)
        except TimeoutError:
            raise self._over_rate(resource, account) from None
        finally:
            account.waiting -= 1

    def _trace_taken(self, resource: str, now: float) -> None:
        trace = self.vm.trace
        if trace.is_on:
            trace.add(traces.Taken(now, resource))

    async def _poll_token(self, resource: str, bucket: buckets.Bucket) -> None:
        """Waits for a token; only the first waiter of a resource polls."""
        while True:
            now = self.vm.now()
            if bucket.take(now):
                self._trace_taken(resource, now)
                return
            delay = bucket.available_at(1.0, now) - now
            await asyncio.sleep(
                min(max(delay, MIN_POLL_SECONDS), MAX_POLL_SECONDS)
            )

    def _over_rate(
        self, resource: str, account: buckets.Account
    ) -> errors.RefusedError:
        if not account.is_current(self.vm.now()):
            # Nothing is known against the workspace: the leader is.
            return errors.refuse(
                errors.Kind.NO_QUORUM, "this VM holds no share of the rate"
            )
        self.vm.metrics.workspace_refused[resource] += 1
        assert account.bucket.lease is not None
        rate = account.bucket.lease.rate
        detail = f"the workspace is over its rate (share here {rate:.3g}/s)"
        return errors.refuse(errors.Kind.OVER_RATE, detail)

    def try_take_token(self, resource: str) -> bool:
        """Takes a token of a shift or region if one is there."""
        now = self.vm.now()
        account = self.vm.book.account(resource, now)
        account.demand.count += 1
        if not account.bucket.take(now):
            return False
        self._trace_taken(resource, now)
        return True

    # Slots.

    async def take_slot(
        self,
        service: catalog.Service,
        workspace: str,
        weight: float,
        deadline: float,
    ) -> upstreams.Upstream:
        """Returns an upstream of the own region with a slot taken on it.

        Raises:
            RefusedError: None had room before `deadline`.
        """
        own = self.vm
        queue = self.queues.get(service.path)
        if queue is None:
            queue = self.queues[service.path] = queues.FairQueue()
        if queue.count == 0:
            upstream = self.try_take_slot(service.path, own.flags.region, set())
            if upstream is not None:
                queue.charge(workspace, weight)
                return upstream
        future = asyncio.get_running_loop().create_future()
        waiter = queues.Waiter(workspace, weight, deadline, future)
        if not queue.push(waiter):
            raise errors.refuse(
                errors.Kind.NO_ROOM, "too many of the workspace's requests wait"
            )
        return await self._wait_slot(service, queue, waiter, future)

    async def _wait_slot(
        self,
        service: catalog.Service,
        queue: queues.FairQueue,
        waiter: queues.Waiter,
        future: "asyncio.Future[upstreams.Upstream]",
    ) -> upstreams.Upstream:
        claimed = False
        try:
            async with asyncio.timeout_at(vm.loop_deadline(waiter.deadline)):
                upstream = await future
                claimed = True
                return upstream
        except TimeoutError:
            raise self._no_room(service) from None
        finally:
            queue.cancel(waiter)
            # A slot may be handed over just as the waiter gives up.
            if not claimed and future.done() and not future.cancelled():
                self.release_slot(service.path, future.result())

    def _no_room(self, service: catalog.Service) -> errors.RefusedError:
        own = self.vm
        region = own.flags.region
        if own.pool(service.path).has_usable(region, own.now()):
            detail = "no upstream had room in time"
        else:
            detail = f"no upstream serves in {region}"
        return errors.refuse(errors.Kind.NO_ROOM, detail)

    def try_take_slot(
        self, service: str, region: str, tried: set[str]
    ) -> upstreams.Upstream | None:
        """Takes a slot of a region at once; None when there is none."""
        own = self.vm
        pool = own.pool(service)
        upstream = pool.choose(
            region, own.flags.failure_domain, own.now(), tried
        )
        if upstream is not None:
            upstream.in_flight += 1
        return upstream

    def release_slot(self, service: str, upstream: upstreams.Upstream) -> None:
        """Gives a slot back and serves waiters."""
        upstream.in_flight -= 1
        self.dispatch(service)

    def dispatch(self, service: str) -> None:
        """Hands free slots to the waiters that are next."""
        queue = self.queues.get(service)
        if queue is None:
            return
        while queue.count:
            upstream = self.try_take_slot(service, self.vm.flags.region, set())
            if upstream is None:
                return
            waiter = queue.pop(self.vm.now())
            if waiter is None:
                upstream.in_flight -= 1
                return
            future = waiter.handle
            assert isinstance(future, asyncio.Future)
            if future.done():
                upstream.in_flight -= 1
                continue
            future.set_result(upstream)
