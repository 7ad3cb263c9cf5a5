"""Forwards requests to upstreams, with retries, and returns the responses."""

import asyncio

import aiohttp

from pollenseam import admission
from pollenseam import catalog
from pollenseam import connects
from pollenseam import crashwatch
from pollenseam import errors
from pollenseam import exchangerelay
from pollenseam import exchanges
from pollenseam import exchangesending
from pollenseam import headers
from pollenseam import lifecycles
from pollenseam import relaying
from pollenseam import replybuffers
from pollenseam import shifts
from pollenseam import statementwatch
from pollenseam import upstreams
from pollenseam import vm

MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_ATTEMPTS = 3
# Failed connects after which another VM is asked to send a request.
MAX_OWN_CONNECT_FAILURES = 2
# A request is sent once more after the connection broke; it may be what crashes
# the upstreams.
MAX_BREAKS = 1
TIMEOUT_FAILURE_RATIO = 0.8
BODILESS_STATUSES = frozenset({204, 304})


class _FinalRefusedError(errors.RefusedError):
    """The request was refused and must not be tried again."""


class _ShedError(Exception):
    """The upstream shed the request: it declared that it did not run it."""


class Forwarder:
    """Forwards requests to upstreams.

    Attributes:
        vm: State of this VM: settings, directory, upstreams and metrics.
        admission: Grants rate tokens and slots on upstreams.
        retry_budgets: Retry budgets by service path.
        active_shifts: State of running shifts by path.
        sender: Sends requests to upstreams.
        relay: Has requests sent by other VMs.
        reply_buffers: Bodies of responses that are received whole, to be
            stored or relayed.
    """

    def __init__(
        self, local_vm: vm.Vm, admission_control: admission.Admission
    ) -> None:
        self.vm = local_vm
        self.admission = admission_control
        self.retry_budgets: dict[str, upstreams.RetryBudget] = {}
        self.active_shifts: dict[str, shifts.ActiveShift] = {}
        self.sender = exchangesending.ExchangeSender(
            local_vm,
            crashwatch.CrashWatch(
                local_vm.log, local_vm.now, self._record_crash, self._is_leaving
            ),
        )
        self.relay = exchangerelay.ExchangeRelay(local_vm)
        self.reply_buffers = replybuffers.ReplyBuffers()

    async def receive(self, streaming: exchanges.StreamingResponse) -> bytes:
        """Returns the whole body of a response, and finishes the request.

        Raises:
            RefusedError: The body is larger than the memory that is left for
                all of them.
            ClientError: The connection to the upstream broke.
        """
        is_complete = False
        try:
            body = await self.reply_buffers.read(streaming.response)
            is_complete = True
        except ValueError as error:
            raise errors.refuse(
                errors.Kind.UPSTREAM_FAILED, str(error), "unknown"
            ) from error
        finally:
            self.finish(streaming, is_complete)
        return body

    async def close(self) -> None:
        """Closes all connections to upstreams and to other VMs."""
        await self.sender.close()
        await self.relay.close()

    async def send(
        self, exchange: exchanges.Exchange
    ) -> exchanges.StreamingResponse:
        """Sends a request and returns the response once its head is received.

        The caller must pass the response to `finish`.

        Raises:
            RefusedError: No upstream answered the request, or its streamed
                body was too large or incomplete; or the request is blocked
                for crashing upstreams.
        """
        self._check_crashes(exchange)
        service = exchange.route.service
        budget = self.retry_budgets.setdefault(
            service.path, upstreams.RetryBudget()
        )
        budget.deposit(service.retry_ratio)
        last_refusal: errors.Refusal | None = None
        while True:
            reservation = await self._reserve(exchange, last_refusal)
            try:
                if reservation is not None:
                    return await self._attempt(exchange, reservation)
                response = await self._relay(exchange, last_refusal)
                if response is not None:
                    return response
            except _ShedError:
                continue
            except connects.PreventedError:
                exchange.is_prevented = True
            except _FinalRefusedError:
                raise
            except errors.RefusedError as error:
                last_refusal = error.refusal
                if not self._may_retry(exchange, budget):
                    raise
                self.vm.metrics.retries += 1

    async def _relay(
        self, exchange: exchanges.Exchange, last_refusal: errors.Refusal | None
    ) -> exchanges.StreamingResponse | None:
        """Has a request sent by another VM.

        Returns:
            The response, or None if this VM is to send the request after all.

        Raises:
            RefusedError: There is no response.
        """
        if exchange.is_relayed or exchange.is_helpless:
            raise _unreached(exchange, last_refusal)
        service = exchange.route.service.path
        try:
            return await self.relay.send(exchange)
        except relaying.NoHelpError as error:
            exchange.is_helpless = True
            exchange.is_prevented = False
            if not self.vm.reach_watch.reach(service).is_unreached:
                return None
            raise _unreached(exchange, last_refusal, str(error)) from error
        except errors.RefusedError as error:
            if error.refusal.executed != "no":
                raise
            # An earlier attempt may have run.
            is_sent = exchange.is_sent and last_refusal is not None
            refusal = last_refusal if is_sent else None
            raise _FinalRefusedError(refusal or error.refusal) from error

    def _check_crashes(self, exchange: exchanges.Exchange) -> None:
        """Refuses a request that is blocked for crashing upstreams."""
        watchlist = self.vm.fleet_view.watchlist
        if watchlist.is_empty or not exchange.fingerprint:
            return
        exchange.is_suspect |= watchlist.check(
            exchange.fingerprint, self.vm.now()
        )

    def _is_leaving(self, upstream: crashwatch.UpstreamStart) -> bool:
        known = self.vm.directory.upstreams.get((upstream.service, upstream.id))
        if known is None:
            return False
        return known.record.state != lifecycles.UpstreamState.SERVING

    def _record_crash(self, run: crashwatch.CrashedRun) -> None:
        self.vm.fleet_view.watchlist.record_crash(run)
        self.vm.lease_wake.set()

    def _may_retry(
        self, exchange: exchanges.Exchange, budget: upstreams.RetryBudget
    ) -> bool:
        if exchange.breaks > MAX_BREAKS or (
            exchange.breaks and exchange.is_suspect
        ):
            return False
        if not exchange.is_sent:
            # The budget is for work that upstreams get once more.
            failures = exchange.connect_failures
            return failures < MAX_ATTEMPTS and not exchange.is_helpless
        if exchange.is_relayed or exchange.relays >= MAX_ATTEMPTS:
            return False
        if len(exchange.tried) >= MAX_ATTEMPTS:
            return False
        return exchange.may_resend and budget.try_spend()

    async def _reserve(
        self, exchange: exchanges.Exchange, last_refusal: errors.Refusal | None
    ) -> exchanges.Reservation | None:
        """Reserves a slot; returns None if another VM is to help.

        Raises:
            RefusedError: No upstream has a free slot in time.
        """
        service = exchange.route.service
        shifted = self._reserve_in_shift_target(service, exchange)
        if shifted is not None:
            return exchanges.Reservation(service.path, shifted, self.vm.now())
        if self._needs_helper(exchange):
            return None
        if exchange.is_sent or (exchange.is_relayed and exchange.tried):
            return self._reserve_untried(exchange, last_refusal)
        upstream = await self.admission.take_slot(
            service,
            exchange.workspace,
            exchange.weight,
            exchange.queue_deadline,
        )
        if upstream is None:
            return None
        return exchanges.Reservation(service.path, upstream, self.vm.now())

    def _needs_helper(self, exchange: exchanges.Exchange) -> bool:
        service = exchange.route.service.path
        is_out_of_reach = self.vm.reach_watch.is_out_of_reach(service)
        if is_out_of_reach or exchange.is_prevented:
            return True
        failures = exchange.connect_failures
        return failures >= MAX_OWN_CONNECT_FAILURES and not exchange.is_helpless

    def _reserve_untried(
        self, exchange: exchanges.Exchange, last_refusal: errors.Refusal | None
    ) -> exchanges.Reservation:
        """Reserves a slot on an untried upstream of this VM's region.

        Raises:
            RefusedError: No such upstream has a free slot. Carries
                `last_refusal`, if there is one.
        """
        service = exchange.route.service.path
        region = self.vm.flags.region
        upstream = self.admission.try_take_slot(service, region, exchange.tried)
        if upstream is None:
            raise errors.RefusedError(
                last_refusal
                or errors.Refusal(
                    errors.Kind.NO_ROOM, "no other upstream has a free slot"
                )
            )
        return exchanges.Reservation(service, upstream, self.vm.now())

    def _reserve_in_shift_target(
        self, service: catalog.Service, exchange: exchanges.Exchange
    ) -> upstreams.Upstream | None:
        """Reserves a slot in another region if a running shift allows it."""
        local_vm = self.vm
        for path, shift in service.shifts:
            if shift.source != local_vm.flags.region:
                continue
            active_shift = self.active_shifts.setdefault(
                path, shifts.ActiveShift()
            )
            is_healthy = self._is_healthy(service, shift.target)
            if not active_shift.update(is_healthy, local_vm.now()):
                continue
            if not self.admission.try_take_token(path):
                continue
            if not self.admission.try_take_token(
                catalog.region_path(shift.target)
            ):
                continue
            upstream = self.admission.try_take_slot(
                service.path, shift.target, exchange.tried
            )
            if upstream is not None:
                local_vm.metrics.moved[path] += 1
                return upstream
        return None

    def _is_healthy(self, service: catalog.Service, region: str) -> bool:
        """Returns whether a region has a serving VM and usable upstreams.

        A VM that is suspected of having failed does not count.
        """
        local_vm = self.vm
        now = local_vm.now()
        has_serving_vm = any(
            peer.record.region == region
            and not peer.is_suspect(now)
            and peer.record.state == lifecycles.VmState.SERVING
            for peer in local_vm.directory.vms.values()
        )
        return has_serving_vm and local_vm.pool(service.path).has_usable(
            region, now
        )

    async def _attempt(
        self, exchange: exchanges.Exchange, reservation: exchanges.Reservation
    ) -> exchanges.StreamingResponse:
        was_sent = exchange.is_sent
        try:
            response = await self.sender.request(exchange, reservation)
        except asyncio.CancelledError:
            self._record_timeout(exchange, reservation)
            self.admission.release_slot(
                reservation.service, reservation.upstream
            )
            raise
        except BaseException:
            self.admission.release_slot(
                reservation.service, reservation.upstream
            )
            raise
        shed = exchange.route.service.shed
        is_shed = (
            response.status == shed.status and shed.header in response.headers
        )
        self._record_statements(reservation.upstream, response, is_shed)
        if is_shed:
            response.close()
            exchange.is_sent = was_sent
            exchange.received_by.discard(reservation.upstream.record.name)
            self._record_shed(reservation)
            if exchange.is_partly_read:
                raise _FinalRefusedError(
                    errors.Refusal(
                        errors.Kind.NO_ROOM,
                        "the upstream had no room, and a part of the streamed "
                        "body was read",
                        "no",
                    )
                )
            raise _ShedError
        return exchanges.StreamingResponse(response, reservation, exchange)

    def _record_statements(
        self,
        upstream: upstreams.Upstream,
        response: aiohttp.ClientResponse,
        is_shed: bool,
    ) -> None:
        """Records what the head of a response states about its upstream."""
        record = upstream.record
        speaker = statementwatch.Speaker(
            record.path, record.incarnation, record.service, upstream.in_flight
        )
        if response.headers.get(headers.LEAVING, "").strip() == "1":
            self.vm.statement_watch.record_leaving(speaker)
        if is_shed and "Retry-After" in response.headers:
            pause = response.headers["Retry-After"]
            self.vm.statement_watch.record_pause(speaker, pause)

    def _record_shed(self, reservation: exchanges.Reservation) -> None:
        self.vm.metrics.sheds += 1
        self.vm.pool(reservation.service).record_shed(
            reservation.upstream, self.vm.now()
        )
        self.admission.release_slot(reservation.service, reservation.upstream)

    def _record_timeout(
        self, exchange: exchanges.Exchange, reservation: exchanges.Reservation
    ) -> None:
        # The caller may have disconnected, or allowed less time than the
        # route does. Only an attempt that used up most of the route's timeout
        # counts as a failure of the upstream.
        elapsed_seconds = self.vm.now() - reservation.started
        timeout_seconds = exchange.route.timeout_ms / 1000
        if elapsed_seconds >= timeout_seconds * TIMEOUT_FAILURE_RATIO:
            self.vm.pool(reservation.service).record_failure(
                reservation.upstream, elapsed_seconds, self.vm.now()
            )

    def finish(
        self, streaming: exchanges.StreamingResponse, is_complete: bool
    ) -> None:
        """Releases a response's slot and records the attempt's outcome.

        Args:
            streaming: What `send` returned.
            is_complete: Whether the body was read to its end. If not, the
                connection is closed, as the rest of the body would be read
                as the next response.
        """
        response = streaming.response
        reservation = streaming.reservation
        if is_complete:
            response.release()
        else:
            response.close()
        if reservation is None:
            # The VM that sent it has recorded the outcome.
            return
        watchlist = self.vm.fleet_view.watchlist
        if is_complete and not watchlist.is_empty:
            watchlist.record_success(streaming.exchange.fingerprint)
        now = self.vm.now()
        pool = self.vm.pool(reservation.service)
        if is_complete and self.sender.is_near(reservation):
            self.vm.reach_watch.record_reply(
                reservation.service, reservation.upstream.record.name
            )
        elapsed_seconds = now - reservation.started
        if is_complete and response.status < 500:
            pool.record_success(reservation.upstream, elapsed_seconds, now)
        else:
            pool.record_failure(reservation.upstream, elapsed_seconds, now)
        self.admission.release_slot(reservation.service, reservation.upstream)


def _unreached(
    exchange: exchanges.Exchange,
    last_refusal: errors.Refusal | None,
    why: str = "no other VM was asked",
) -> errors.RefusedError:
    """Returns the refusal of a request whose service is out of reach."""
    if last_refusal is not None and exchange.is_sent:
        return _FinalRefusedError(last_refusal)
    refusal = errors.Refusal(
        errors.Kind.NO_ROOM,
        f"this VM reaches no upstream of the service; {why}",
        "no",
    )
    refusal.unreached_service = exchange.route.service.path
    return _FinalRefusedError(refusal)
