"""Admission of requests on an entry VM: rate tokens and upstream slots."""

import asyncio
import math

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
    """Makes requests wait for a token of a rate and for an upstream slot.

    Attributes:
        vm: State of this VM.
        queues: Queue of the requests that wait for a slot, by service path.
    """

    def __init__(self, local_vm: vm.Vm) -> None:
        self.vm = local_vm
        self.queues: dict[str, queues.FairQueue] = {}
        self._token_locks: dict[str, asyncio.Lock] = {}

    async def run(self) -> None:
        """Dispatches waiting requests periodically, until cancelled.

        Some slots become free by the passing of time alone, for example when
        an upstream is no longer assumed to be full.
        """
        while True:
            await asyncio.sleep(DISPATCH_INTERVAL_SECONDS)
            self.vm.trace.flush()
            self.vm.refresh_pools()
            for service, queue in self.queues.items():
                if queue.count:
                    self.dispatch(service)
                    self.dismiss_unreached(service)
                    self._dismiss_paused(service, queue)

    # Rates.

    async def take_token(self, resource: str, deadline: float) -> None:
        """Takes a token of a workspace's rate, waiting if necessary.

        Raises:
            RefusedError: No token was available before `deadline`, or too
                many requests of the workspace wait.
        """
        local_vm = self.vm
        now = local_vm.now()
        account = local_vm.lease_table.account(resource, now)
        account.demand.count += 1
        if account.waiting == 0 and account.bucket.take(now):
            self._trace_taken(resource, now)
            return
        if account.waiting >= MAX_TOKEN_WAITERS:
            raise self._over_rate(resource, account)
        account.waiting += 1
        local_vm.lease_wake.set()
        lock = self._token_locks.setdefault(resource, asyncio.Lock())
        try:
            async with asyncio.timeout_at(vm.loop_deadline(deadline)):
                async with lock:
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
        """Waits for a token. The lock lets one waiter per resource poll."""
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
            # The cause is a leader that does not renew the lease, not the
            # workspace's rate.
            return errors.refuse(
                errors.Kind.NO_QUORUM,
                "this VM has no current lease on the workspace's rate",
            )
        self.vm.metrics.workspace_refused[resource] += 1
        assert account.bucket.lease is not None
        rate = account.bucket.lease.rate
        detail = (
            f"workspace is over its rate limit (share of this VM: {rate:.3g}/s)"
        )
        return errors.refuse(errors.Kind.OVER_RATE, detail)

    def try_take_token(self, resource: str) -> bool:
        """Takes a token of a shift or region; returns False if none is left."""
        now = self.vm.now()
        account = self.vm.lease_table.account(resource, now)
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
    ) -> upstreams.Upstream | None:
        """Takes a slot on an upstream of this VM's region; waits if necessary.

        Args:
            service: Service to choose an upstream of.
            workspace: Workspace that sent the request.
            weight: Weight of the workspace in the fair queue.
            deadline: Time in seconds after which the request is refused.

        Returns:
            The upstream; pass it to `release_slot` when the request ends. None
            if the service got out of reach in the meantime.

        Raises:
            RefusedError: No upstream had room before `deadline`, none wants a
                request before it, or too many requests of the workspace wait.
        """
        local_vm = self.vm
        queue = self.queues.get(service.path)
        if queue is None:
            queue = self.queues[service.path] = queues.FairQueue()
        if queue.count == 0:
            upstream = self.try_take_slot(
                service.path, local_vm.flags.region, set()
            )
            if upstream is not None:
                queue.charge(workspace, weight)
                return upstream
        seconds = self._pause_seconds(service.path)
        if local_vm.now() + seconds > deadline:
            raise _all_paused(seconds)
        future = asyncio.get_running_loop().create_future()
        waiter = queues.Waiter(workspace, weight, deadline, future)
        if not queue.push(waiter):
            raise errors.refuse(
                errors.Kind.NO_ROOM,
                "too many requests of the workspace are waiting",
            )
        return await self._wait_slot(service, queue, waiter, future)

    def _pause_seconds(self, service: str) -> float:
        """Returns the time until an upstream of this region is not paused."""
        pool = self.vm.pool(service)
        return pool.pause_seconds(self.vm.flags.region, self.vm.now())

    def _dismiss_paused(self, service: str, queue: queues.FairQueue) -> None:
        """Refuses the waiting requests that end before all pauses do."""
        seconds = self._pause_seconds(service)
        if not seconds:
            return
        for waiter in queue.cancel_due(self.vm.now() + seconds):
            assert isinstance(waiter.handle, asyncio.Future)
            if not waiter.handle.done():
                waiter.handle.set_exception(_all_paused(seconds))

    async def _wait_slot(
        self,
        service: catalog.Service,
        queue: queues.FairQueue,
        waiter: queues.Waiter,
        future: "asyncio.Future[upstreams.Upstream | None]",
    ) -> upstreams.Upstream | None:
        is_taken = False
        try:
            async with asyncio.timeout_at(vm.loop_deadline(waiter.deadline)):
                upstream = await future
                is_taken = True
                return upstream
        except TimeoutError:
            raise self._no_room(service) from None
        finally:
            queue.cancel(waiter)
            # The slot may be assigned at the moment the wait times out.
            is_assigned = future.done() and not future.cancelled()
            if is_assigned and not is_taken and not future.exception():
                if (unused := future.result()) is not None:
                    self.release_slot(service.path, unused)

    def _no_room(self, service: catalog.Service) -> errors.RefusedError:
        local_vm = self.vm
        region = local_vm.flags.region
        if local_vm.pool(service.path).has_usable(region, local_vm.now()):
            detail = "no upstream had a free slot before the deadline"
        else:
            detail = f"no upstream is serving in region {region}"
        return errors.refuse(errors.Kind.NO_ROOM, detail)

    def try_take_slot(
        self, service: str, region: str, tried: set[str]
    ) -> upstreams.Upstream | None:
        """Takes a slot on an upstream of a region without waiting.

        Args:
            service: Path of the service.
            region: Region to choose in.
            tried: Names of upstreams that the request was already sent to.

        Returns:
            The upstream, or None if none has room.
        """
        local_vm = self.vm
        pool = local_vm.pool(service)
        upstream = pool.choose(
            region, local_vm.flags.failure_domain, local_vm.now(), tried
        )
        if upstream is not None:
            upstream.in_flight += 1
        return upstream

    def release_slot(self, service: str, upstream: upstreams.Upstream) -> None:
        """Releases a slot and dispatches waiting requests."""
        upstream.in_flight -= 1
        self.dispatch(service)

    def dismiss_unreached(self, service: str) -> None:
        """Ends the wait of all requests for a service that is out of reach.

        Args:
            service: Path of the service.
        """
        queue = self.queues.get(service)
        if queue is None or not self.vm.reach_watch.is_out_of_reach(service):
            return
        while (waiter := queue.pop(self.vm.now())) is not None:
            assert isinstance(waiter.handle, asyncio.Future)
            if not waiter.handle.done():
                waiter.handle.set_result(None)

    def dispatch(self, service: str) -> None:
        """Assigns free slots of a service to waiting requests, in order."""
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


def _all_paused(seconds: float) -> errors.RefusedError:
    """Returns a refusal for a time in which all upstreams are paused.

    Args:
        seconds: Time until the first pause ends.
    """
    return errors.refuse(
        errors.Kind.NO_ROOM,
        f"all upstreams asked for a pause, the first for {seconds:.3g} s more",
        retry_after=math.ceil(seconds),
    )
