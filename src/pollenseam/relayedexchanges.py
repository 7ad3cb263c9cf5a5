"""Sends requests that other VMs of the region have read to upstreams."""

import asyncio

import aiohttp
import multidict

from pollenseam import calls
from pollenseam import catalog
from pollenseam import errors
from pollenseam import exchanges
from pollenseam import forwarder
from pollenseam import lifecycles
from pollenseam import settings
from pollenseam import vm


class RelayedExchanges:
    """Sends relayed requests to upstreams, each to one of them at most.

    Rate, key and claim are the matter of the VM that read the request; this
    one takes a slot on an upstream, in the fair queue with its own requests.

    Attributes:
        vm: State of this VM: settings, directory, upstreams and metrics.
        forwarder: Forwards requests to upstreams.
    """

    def __init__(
        self, local_vm: vm.Vm, request_forwarder: forwarder.Forwarder
    ) -> None:
        self.vm = local_vm
        self.forwarder = request_forwarder

    def lends_until(self) -> float:
        """Returns the time by which relayed requests must end; 0 for none."""
        is_serving = self.vm.lifecycle.state == lifecycles.VmState.SERVING
        return float("inf") if is_serving else 0.0

    async def deliver(self, active_call: calls.ActiveCall) -> calls.Reply:
        """Returns the response of an upstream to a relayed request.

        Raises:
            RefusedError: There is none. The call says how far it came.
        """
        exchange = self._to_exchange(active_call)
        try:
            async with asyncio.timeout_at(vm.loop_deadline(exchange.deadline)):
                return await self._receive(exchange)
        except TimeoutError as error:
            raise errors.refuse(
                errors.Kind.DEADLINE,
                "no response came in time",
                "unknown" if exchange.is_sent else "no",
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise errors.refuse(
                errors.Kind.UPSTREAM_FAILED,
                "the upstream's response was incomplete",
            ) from error
        except errors.RefusedError as error:
            active_call.needs_helper = bool(error.refusal.unreached_service)
            raise
        finally:
            active_call.received_by.update(exchange.received_by)
            active_call.executions = int(exchange.is_sent)
            active_call.connect_failures = exchange.connect_failures
            active_call.is_risky = exchange.breaks > 0

    def _to_exchange(self, active_call: calls.ActiveCall) -> exchanges.Exchange:
        """Returns the exchange of a relayed request.

        Raises:
            RefusedError: This VM does not know the service.
        """
        call = active_call.call
        known = self.vm.catalog
        service = known.services.get(active_call.service)
        if service is None:
            active_call.needs_helper = True
            raise errors.refuse(errors.Kind.NO_ROOM, "the service is not known")
        route = catalog.Route(service, settings.Route(call.host))
        call.headers["Host"] = call.host
        queue_deadline = self.vm.now() + service.queue_ms / 1000
        exchange = exchanges.Exchange(
            call.method,
            multidict.CIMultiDictProxy(call.headers),
            call.target,
            route,
            call.deadline,
            min(call.deadline, queue_deadline),
        )
        exchange.is_relayed = True
        exchange.body = call.body
        exchange.tried.update(active_call.tried)
        exchange.is_suspect = active_call.is_risky
        if call.workspace:
            exchange.workspace = call.workspace
            node = known.workspaces.get(call.workspace)
            exchange.weight = 1.0 if node is None else node.weight
        return exchange

    async def _receive(self, exchange: exchanges.Exchange) -> calls.Reply:
        streaming = await self.forwarder.send(exchange)
        response = streaming.response
        assert isinstance(response, aiohttp.ClientResponse)
        body = await self.forwarder.receive(streaming)
        return calls.Reply(
            response.status, response.reason, response.headers, body
        )
