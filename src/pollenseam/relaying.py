"""Has a call sent by another entry VM, its helper.

The helper chooses the upstream and sends the call to one of them at most. All
else stays with this VM: the caller's key and rate, retries and their budget,
the deadline and the answer.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from pollenseam import calls
from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import events
from pollenseam import helpers
from pollenseam import helperwatch
from pollenseam import links
from pollenseam import metrics
from pollenseam import peers
from pollenseam import reachwatch
from pollenseam import relaymessages

CONNECT_SECONDS = 0.3
# Time for the connection to the last helper that may be asked, and the part of
# what the call has left that it may take. A helper in doubt gets one call at a
# time, which may wait longer for all others.
LAST_CONNECT_SECONDS = 1.0
LAST_CONNECT_RATIO = 0.25
DOUBTED_CONNECT_RATIO = 0.5
# A call with less time left is not given to a helper.
MIN_LEFT_SECONDS = 0.005
# Helpers that are asked for one attempt.
MAX_ASKED = 3
# Least time after which a helper is asked for a sign of life.
MIN_PATIENCE_SECONDS = 0.1
# Body above which a call is not given to a helper.
MAX_BODY_BYTES = 1024 * 1024
# A connection to a helper is closed when it was not used for this long.
IDLE_SECONDS = 10.0
# gRPC gives up a connect after the "minimum backoff"; between regions it takes
# longer than the default.
CHANNEL_OPTIONS = (("grpc.min_reconnect_backoff_ms", 1000),)
# gRPC statuses of calls that the helper's handler has not received.
NOT_RECEIVED = ("unimplemented", "invalid_argument")


Claim = Callable[[calls.ActiveCall], bool]


class SilentError(errors.PollenseamError):
    """A helper answers nothing; the call may have been executed."""


class NoHelpError(errors.PollenseamError):
    """No helper can send the call; it was not executed.

    Attributes:
        is_unreached: Whether the helpers that were asked do not reach the
            service either.
    """

    def __init__(self, detail: str, is_unreached: bool) -> None:
        super().__init__(detail)
        self.is_unreached = is_unreached


class Relayer:
    """Has calls sent by helpers.

    Attributes:
        log: Event log.
        now: Returns the time since boot in seconds.
        peers: Client for calls to other VMs.
        helpers: The entry VMs that may help.
        helper_watch: Finds out which of them are silent.
        reach_watch: Follows which services this VM reaches.
        link: Network link of this VM.
        relays: Counts calls given to helpers, by service and outcome.
        used_at: Time of the last use of a connection, by helper's address.
        open_calls: Calls in progress, by helper's address.
    """

    def __init__(
        self,
        log: events.EventLog,
        now: Callable[[], float],
        peer_client: peers.Client,
        known_helpers: helpers.Helpers,
        reach_watch: reachwatch.ReachWatch,
        relays: metrics.Counter,
    ) -> None:
        self.log = log
        self.now = now
        self.peers = peer_client
        self.helpers = known_helpers
        self.helper_watch = helperwatch.HelperWatch(
            peer_client, now, self._record_silent
        )
        self.reach_watch = reach_watch
        self.link = links.Link()
        self.relays = relays
        self.used_at: dict[str, float] = {}
        self.open_calls: collections.Counter[str] = collections.Counter()

    async def close_idle(self) -> None:
        """Closes connections to helpers that were not used for a while."""
        oldest = self.now() - IDLE_SECONDS
        for address, used_at in list(self.used_at.items()):
            if used_at >= oldest or self.open_calls[address]:
                continue
            del self.used_at[address]
            del self.open_calls[address]
            await self.peers.disconnect(address)

    def may_help(self, active_call: calls.ActiveCall, now: float) -> bool:
        """Returns whether a helper that may send a call is known."""
        service = active_call.service
        if self.helpers.is_paused(service, now):
            return False
        if len(active_call.call.body) > MAX_BODY_BYTES:
            return False
        regions = active_call.regions
        return self.helpers.choose(service, regions, (), False, now) is not None

    async def send(
        self, active_call: calls.ActiveCall, claim: Claim
    ) -> relaymessages.RelayResponse | None:
        """Has a call sent to one upstream by a helper.

        Args:
            active_call: The call.
            claim: Takes the right to send the call once more; returns whether
                that is allowed.

        Returns:
            The helper's response, or None if the call may have been executed
            and its outcome is unknown.

        Raises:
            NoHelpError: No helper sends the call; it was not executed.
            RefusedError: No answer came before the deadline.
        """
        service = active_call.service
        if self.helpers.is_paused(service, self.now()):
            raise NoHelpError("no VM was found that reaches the service", True)
        if len(active_call.call.body) > MAX_BODY_BYTES:
            raise NoHelpError("the body is too large to be relayed", False)
        asked: set[str] = set()
        unreached: set[str] = set()
        while len(asked) < MAX_ASKED:
            helper = self.helpers.choose(
                service,
                active_call.regions,
                asked,
                len(asked) == MAX_ASKED - 1,
                self.now(),
            )
            if helper is None:
                break
            asked.add(helper.name)
            connect_seconds = self._connect_seconds(
                active_call, helper.name, asked
            )
            response = await self._ask(
                active_call, helper, claim, connect_seconds
            )
            if response is None:
                return None
            if response.outcome not in relaymessages.NOT_SENT_OUTCOMES:
                if response.upstream:
                    self._record_help(service)
                return response
            if response.outcome == relaymessages.NOT_REACHED:
                unreached.add(helper.name)
        is_unreached = len(unreached) == MAX_ASKED or not (
            self.helpers.may_reach(service, active_call.regions, self.now())
        )
        if unreached and is_unreached:
            self.helpers.record_no_help(service, self.now())
        raise NoHelpError(
            f"no other VM sends the call: {len(asked)} asked, "
            f"{len(unreached)} do not reach the service",
            is_unreached,
        )

    def _connect_seconds(
        self, active_call: calls.ActiveCall, helper: str, asked: set[str]
    ) -> float:
        """Returns how long a helper may take to connect.

        A VM that is busy may take a while, so the last one gets more time.

        Args:
            active_call: The call.
            helper: Name of the helper.
            asked: Names of all helpers asked for the call, this one included.
        """
        now = self.now()
        left_seconds = active_call.deadline - now
        is_last = len(asked) == MAX_ASKED or not self.helpers.choose(
            active_call.service, active_call.regions, asked, False, now
        )
        connect_seconds = CONNECT_SECONDS
        if is_last:
            ratio = LAST_CONNECT_RATIO
            if helper in self.helpers.doubted:
                ratio = DOUBTED_CONNECT_RATIO
            last_seconds = min(LAST_CONNECT_SECONDS, left_seconds * ratio)
            connect_seconds = max(CONNECT_SECONDS, last_seconds)
        connect_seconds += self.link.wait_seconds(now)
        return min(connect_seconds, left_seconds)

    def _record_help(self, service: str) -> None:
        """Records that a helper reached a service."""
        self.helpers.record_help(service)
        self.reach_watch.reach(service).record_help(self.now())

    async def _ask(
        self,
        active_call: calls.ActiveCall,
        helper: controlmessages.EntryVm,
        claim: Claim,
        connect_seconds: float,
    ) -> relaymessages.RelayResponse | None:
        """Gives a call to one helper.

        Args:
            active_call: The call.
            helper: The helper.
            claim: See `send`.
            connect_seconds: Time that the connection may take.

        Returns:
            The response, also for a helper that cannot be asked; None if the
            call may have been executed.

        Raises:
            NoHelpError: The call's time is over before a helper is reached.
            RefusedError: No answer came before the deadline.
        """
        started_at = self.now()
        address = helper.relay_address
        self.used_at[address] = started_at
        self.open_calls[address] += 1
        self.helpers.begin(helper.name)
        outcome = "cancelled"
        try:
            response = await self._call(
                active_call, helper, claim, connect_seconds
            )
            outcome = "broken" if response is None else response.outcome
        except NoHelpError:
            outcome = "no-time"
            raise
        except SilentError:
            outcome = "silent"
            return None
        except errors.RefusedError:
            outcome = "no-answer-in-time"
            raise
        finally:
            self.helpers.end(helper.name)
            self.open_calls[address] -= 1
            self.used_at[address] = self.now()
            self._learn(active_call.service, helper.name, outcome)
            self._record(active_call, helper, outcome, started_at)
        return response

    async def _call(
        self,
        active_call: calls.ActiveCall,
        helper: controlmessages.EntryVm,
        claim: Claim,
        connect_seconds: float,
    ) -> relaymessages.RelayResponse | None:
        address = helper.relay_address
        is_connected = await self.peers.connect(address, connect_seconds)
        if is_connected and not await self._may_leave(active_call, helper):
            return relaymessages.RelayResponse(relaymessages.NO_CAPACITY)
        left_seconds = active_call.deadline - self.now()
        if left_seconds < MIN_LEFT_SECONDS:
            raise NoHelpError("no time is left to reach another VM", False)
        if not is_connected:
            self.helpers.doubt(
                helper.name, helpers.UNCONNECTED_SECONDS, self.now()
            )
            return relaymessages.RelayResponse(relaymessages.NO_CAPACITY)
        self.log.emit_often(
            "relaying",
            request=active_call.call.id,
            service=active_call.service,
            helper=helper.name,
            left_seconds=left_seconds,
        )
        request = relaymessages.from_active_call(active_call, left_seconds)
        started_at = self.now()
        try:
            response = await self._wait(
                active_call,
                helper,
                claim,
                self.peers.call(
                    address, relaymessages.RELAY, request, left_seconds
                ),
            )
        except errors.UnreachableError as error:
            if error.outcome in NOT_RECEIVED:
                return relaymessages.RelayResponse(relaymessages.NO_CAPACITY)
            if error.outcome == "deadline_exceeded":
                raise errors.refuse(
                    errors.Kind.DEADLINE,
                    "no reply came in time through another VM",
                    "unknown",
                ) from error
            return None
        self.helper_watch.record_heard(helper.name)
        self.helpers.trust(helper.name)
        if response.outcome == relaymessages.REPLIED:
            self.helper_watch.record_reply(
                active_call.named_route.name, self.now() - started_at
            )
        return response

    async def _may_leave(
        self, active_call: calls.ActiveCall, helper: controlmessages.EntryVm
    ) -> bool:
        """Returns whether a call may be left to a helper that is connected.

        One that may run once only cannot be taken back from a helper that is
        silent. So one in doubt must give a sign of life first.
        """
        if helper.name not in self.helpers.doubted:
            return True
        if active_call.may_run_twice():
            return True
        return not await self.helper_watch.is_silent(helper)

    async def _wait(
        self,
        active_call: calls.ActiveCall,
        helper: controlmessages.EntryVm,
        claim: Claim,
        exchange: Coroutine[Any, Any, relaymessages.RelayResponse],
    ) -> relaymessages.RelayResponse:
        """Returns a helper's response.

        Raises:
            SilentError: The helper answers nothing, and the call may be sent
                once more.
            UnreachableError: There is no valid response.
        """
        route = active_call.named_route.name
        response = asyncio.create_task(exchange)
        try:
            while not response.done():
                # A frozen helper is found out before the call's time is over.
                half_seconds = (active_call.deadline - self.now()) / 2
                patience_seconds = min(
                    self.helper_watch.patience_seconds(route),
                    max(MIN_PATIENCE_SECONDS, half_seconds),
                )
                await asyncio.wait({response}, timeout=patience_seconds)
                if not await self._is_silent(helper, response):
                    continue
                if active_call.may_run_twice() and claim(active_call):
                    raise SilentError
            return response.result()
        finally:
            response.cancel()

    async def _is_silent(
        self, helper: controlmessages.EntryVm, response: asyncio.Task[Any]
    ) -> bool:
        """Returns whether a helper answers nothing.

        Ends with the response at the latest.
        """
        check = asyncio.create_task(self.helper_watch.is_silent(helper))
        try:
            await asyncio.wait(
                {response, check}, return_when=asyncio.FIRST_COMPLETED
            )
            return not response.done() and check.result()
        finally:
            check.cancel()

    def _record_silent(self, helper: controlmessages.EntryVm) -> None:
        """Avoids a helper that answers nothing."""
        now = self.now()
        if not self.helpers.is_avoided(helper.name, now):
            self.log.emit_often(
                "helper-silent",
                helper=helper.name,
                in_flight=self.helpers.in_flight.get(helper.name, 0),
            )
        self.helpers.doubt(helper.name, helpers.BROKEN_SECONDS, now)

    def _learn(self, service: str, name: str, outcome: str) -> None:
        """Remembers what the outcome of a call says about its helper."""
        now = self.now()
        if outcome == relaymessages.NOT_REACHED:
            self.helpers.avoid(name, helpers.NOT_REACHED_SECONDS, now, service)
        elif outcome == relaymessages.NO_CAPACITY:
            if not self.helpers.is_avoided(name, now):
                self.helpers.avoid(name, helpers.NO_CAPACITY_SECONDS, now)
        elif outcome == "broken":
            self.helpers.doubt(name, helpers.BROKEN_SECONDS, now)

    def _record(
        self,
        active_call: calls.ActiveCall,
        helper: controlmessages.EntryVm,
        outcome: str,
        started_at: float,
    ) -> None:
        self.relays.add(active_call.service, outcome)
        self.log.emit_often(
            "relayed",
            request=active_call.call.id,
            service=active_call.service,
            helper=helper.name,
            outcome=outcome,
            seconds=self.now() - started_at,
            in_flight=self.helpers.in_flight.get(helper.name, 0),
        )


def create_relayer(
    name: str,
    region: str,
    log: events.EventLog,
    now: Callable[[], float],
    peer_client: peers.Client,
    reach_watch: reachwatch.ReachWatch,
    relays: metrics.Counter,
) -> Relayer:
    """Returns a relayer with connections of its own to helpers.

    Args:
        name: Name of this VM.
        region: Region of this VM.
        log: Event log.
        now: Returns the time since boot in seconds.
        peer_client: Client whose credentials and counts are used.
        reach_watch: Follows which services this VM reaches.
        relays: Counts calls given to helpers, by service and outcome.
    """
    client = peers.Client(
        log.clock, peer_client.credentials, log, CHANNEL_OPTIONS
    )
    client.traffic = peer_client.traffic
    known_helpers = helpers.Helpers(name, region)
    return Relayer(log, now, client, known_helpers, reach_watch, relays)
