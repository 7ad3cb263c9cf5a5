"""Calls that another entry VM sends: what the one that read them does."""

import asyncio
import contextlib

import pytest
import scripted
import test_rogue_upstreams
import test_stale_refusals

from pollenseam import controlmessages
from pollenseam import errors
from pollenseam import events
from pollenseam import helpers
from pollenseam import helperwatch
from pollenseam import peers
from pollenseam import peerserver
from pollenseam import registry
from pollenseam import relayhelper
from pollenseam import relaying
from pollenseam import relaymessages
from pollenseam import traffic
from pollenseam.standins import fleet

SHED = relaymessages.RelayedRefusal("no-room", "no room", "no", 0.5)
FAILED = relaymessages.RelayedRefusal("upstream-failed", "broke", "unknown", 0)
OVERLOADED = relaymessages.RelayedRefusal("no-room", "all full", "no", 0.25)


def replied(status):
    reply = relaymessages.RelayedReply(
        status, b"Status", [(b"X-A", b"\xff")], b"body"
    )
    return relaymessages.RelayResponse("replied", reply, None, "i9", 1)


class ScriptedHelper:
    """An entry VM that answers relayed calls as told.

    Attributes:
        answer: Answers one call.
        received: Calls received.
        cancelled: Number of calls that were cancelled.
        is_frozen: Whether it gives no sign of life either.
    """

    def __init__(self, answer):
        self.answer = answer
        self.received = []
        self.cancelled = 0
        self.is_frozen = False
        self.server = peerserver.Server(
            events.LogicalClock(), traffic.Traffic()
        )

    async def start(self):
        port = fleet.free_port()
        self.port = port
        self.server.handle(relaymessages.RELAY, self.handle)
        self.server.handle(relaymessages.CHECK, self.handle_check)
        await self.server.start(f"127.0.0.1:{port}")

    async def handle_check(self, message):
        if self.is_frozen:
            await asyncio.sleep(60)
        return peers.Empty()

    async def handle(self, message):
        self.received.append(message)
        try:
            return await self.answer(self)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


def answering(response):
    async def answer(helper):
        return response

    return answer


async def never_answers(helper):
    await asyncio.sleep(60)


async def fails(helper):
    raise ValueError("a fault of the helper")


async def dies(helper):
    stop = asyncio.create_task(helper.server.stop(0))
    await asyncio.sleep(60)
    await stop


@contextlib.asynccontextmanager
async def cut_off_vm(*answers, is_idempotent=False, retry_slack=100.0):
    """Yields an entry VM whose only upstream is out of reach, and helpers."""
    entry_vm = test_rogue_upstreams.make_entry_vm(
        f"127.0.0.1:{fleet.free_port()}"
    )
    entry_vm.dispatcher.retry_slack = retry_slack
    entry_vm.table.find_route("h", "/a/1").route.is_idempotent = is_idempotent
    scripted = [ScriptedHelper(answer) for answer in answers]
    for helper in scripted:
        await helper.start()
    entry_vm.relayer.helpers.update(
        [
            controlmessages.EntryVm(
                f"h{n}", 1, "127.0.0.1:1", "r1", "z1", True, helper.port
            )
            for n, helper in enumerate(scripted)
        ]
    )
    try:
        yield entry_vm, scripted
    finally:
        entry_vm.reach_watch.close()
        await entry_vm.relayer.peers.close()
        await entry_vm.dispatcher.close()
        for helper in scripted:
            await helper.server.stop(0)


async def serve(entry_vm, seconds=60.0):
    call = test_rogue_upstreams.make_call(entry_vm)
    call.deadline = entry_vm.now() + seconds
    try:
        return await entry_vm.serve(call)
    except errors.RefusedError as error:
        return error.refusal


async def test_a_reply_is_returned_as_the_helper_received_it():
    async with cut_off_vm(answering(replied(200))) as (entry_vm, [helper]):
        reply = await serve(entry_vm)
        assert (reply.status, reply.reason, reply.body) == (
            200,
            "Status",
            b"body",
        )
        assert reply.headers["X-A"] == "\udcff"
        [message] = helper.received
        assert message.workspace == "w1"
        assert message.tried == []
        assert b"k1" not in b"".join(v for _, v in message.headers)
        assert 0 < message.left_ms <= 3000


@pytest.mark.parametrize(
    ("answer", "kind", "executed", "retry_after"),
    [
        (
            answering(
                relaymessages.RelayResponse("refused", None, FAILED, "i9", 1)
            ),
            errors.Kind.UPSTREAM_FAILED,
            "unknown",
            None,
        ),
        (fails, errors.Kind.UPSTREAM_FAILED, "unknown", None),
        (dies, errors.Kind.UPSTREAM_FAILED, "unknown", None),
        (never_answers, errors.Kind.DEADLINE, "unknown", None),
        (
            answering(relaymessages.RelayResponse("not-reached")),
            errors.Kind.NO_ROOM,
            "no",
            1.0,
        ),
        (
            answering(relaymessages.RelayResponse("no-capacity")),
            errors.Kind.NO_ROOM,
            "no",
            0.05,
        ),
        (
            answering(relaymessages.RelayResponse("refused", None, OVERLOADED)),
            errors.Kind.NO_ROOM,
            "no",
            0.25,
        ),
    ],
)
async def test_a_refusal_says_not_run_only_if_the_call_surely_has_not(
    answer, kind, executed, retry_after
):
    """Guards against 503 for a call that a helper may have sent."""
    async with cut_off_vm(answer) as (entry_vm, [helper]):
        refusal = await serve(entry_vm, seconds=1.0)
        assert (refusal.kind, refusal.executed) == (kind, executed)
        assert refusal.retry_after == retry_after
        assert len(helper.received) == 1


@pytest.mark.parametrize("first", [fails, dies, answering(replied(500))])
async def test_only_idempotent_calls_are_given_to_a_second_helper(first):
    """Guards against a second run of a call that a helper may have sent."""
    for is_idempotent in (True, False):
        async with cut_off_vm(first, first, is_idempotent=is_idempotent) as (
            entry_vm,
            scripted,
        ):
            entry_vm.table.find_route("h", "/a/1").route.max_attempts = 2
            await serve(entry_vm)
            sends = sum(len(helper.received) for helper in scripted)
            assert sends == 1 + is_idempotent


@pytest.mark.parametrize(
    ("is_frozen", "is_idempotent", "retry_slack", "is_served"),
    [
        (True, True, 100.0, True),
        (True, True, 0.0, False),
        (True, False, 100.0, False),
        (False, True, 100.0, False),
    ],
)
async def test_only_idempotent_calls_leave_a_helper_and_only_a_frozen_one(
    is_frozen, is_idempotent, retry_slack, is_served
):
    """Guards against calls that a frozen helper holds until their deadline.

    A helper that is alive may wait for a slow upstream.
    """
    async with cut_off_vm(
        never_answers,
        answering(replied(200)),
        is_idempotent=is_idempotent,
        retry_slack=retry_slack,
    ) as (entry_vm, [first, second]):
        entry_vm.table.find_route("h", "/a/1").route.max_attempts = 2
        entry_vm.relayer.helpers.entries["h1"].region = "r2"
        first.is_frozen = is_frozen
        answer = await serve(entry_vm, seconds=2.0)
        assert len(first.received) == 1
        assert len(second.received) == is_served
        if is_served:
            assert answer.status == 200
            while not first.cancelled:
                await asyncio.sleep(0.01)
        else:
            assert (answer.kind, answer.executed) == (
                errors.Kind.DEADLINE,
                "unknown",
            )
        avoided = entry_vm.relayer.helpers.is_avoided("h0", entry_vm.now())
        assert avoided == is_frozen or not is_served


async def test_a_check_of_a_helper_holds_no_call_beyond_its_time(monkeypatch):
    """Guards against calls that end late while their helper is asked."""
    monkeypatch.setattr(helperwatch, "CHECK_SECONDS", 5.0)
    async with cut_off_vm(never_answers) as (entry_vm, [helper]):
        helper.is_frozen = True
        deadline = entry_vm.now() + 1.0
        assert (await serve(entry_vm, 1.0)).kind == errors.Kind.DEADLINE
        assert entry_vm.now() <= deadline + 0.5


def test_the_patience_with_a_route_follows_the_time_it_takes():
    """Guards against a fixed time, too short or too long for some route."""
    watch = helperwatch.HelperWatch(None, lambda: 0.0, None)
    assert watch.patience_seconds("r") == helperwatch.FIRST_PATIENCE_SECONDS
    for seconds in [1.0, 1.2, 0.8] * 20:
        watch.record_reply("r", seconds)
        watch.record_reply("quick", seconds / 100)
    assert 1.2 < watch.patience_seconds("r") < 2.5
    assert watch.patience_seconds("quick") == helperwatch.MIN_PATIENCE_SECONDS


async def test_a_second_send_takes_from_the_one_retry_budget():
    """Guards against helpers that retry beyond the budget of the fleet."""
    shed = answering(
        relaymessages.RelayResponse("refused", None, SHED, "i9", 0)
    )
    async with cut_off_vm(shed, retry_slack=0.0) as (entry_vm, [helper]):
        refusal = await serve(entry_vm)
        assert (refusal.kind, refusal.executed) == (errors.Kind.NO_ROOM, "no")
        assert len(helper.received) == 1
        budget = entry_vm.dispatcher.retry_budgets["s1"]
        assert sum(budget.request_counts.values()) == 1
        assert sum(budget.retry_counts.values()) == 0
    async with cut_off_vm(shed) as (entry_vm, [helper]):
        await serve(entry_vm, seconds=1.0)
        budget = entry_vm.dispatcher.retry_budgets["s1"]
        assert sum(budget.retry_counts.values()) == len(helper.received) - 1
        assert helper.received[1].tried == ["i9"]


@pytest.mark.parametrize(
    ("retry_slack", "helper_count", "is_claimed"),
    [(100.0, 1, True), (0.0, 1, False), (100.0, 0, False)],
)
async def test_a_call_that_waits_is_sent_again_only_with_retry_and_helper(
    retry_slack, helper_count, is_claimed
):
    """Guards against calls that are given up with no way to go on."""
    answers = [answering(replied(200))] * helper_count
    async with cut_off_vm(*answers, retry_slack=retry_slack) as (entry_vm, _):
        dispatcher = entry_vm.dispatcher
        active_call = entry_vm._admit(test_rogue_upstreams.make_call(entry_vm))
        active_call.deliveries = 1
        assert dispatcher._claim_second_run(active_call) == is_claimed
        spent = dispatcher._budget("s1").retry_counts.total()
        assert spent == is_claimed
        if is_claimed:
            dispatcher._spend_retry(active_call, entry_vm.now())
            assert dispatcher._budget("s1").retry_counts.total() == 1


async def test_a_caller_that_leaves_ends_the_relayed_call():
    """Guards against upstreams that work for callers who are gone."""
    async with cut_off_vm(never_answers) as (entry_vm, [helper]):
        task = asyncio.create_task(serve(entry_vm))
        while not helper.received:
            await asyncio.sleep(0.01)
        task.cancel()
        while not helper.cancelled:
            await asyncio.sleep(0.01)
        assert entry_vm.relayer.helpers.in_flight == {}


async def test_a_connection_to_a_helper_is_closed_when_no_call_needs_it(
    monkeypatch,
):
    """Guards against idle connections, and against a long call that is cut."""
    monkeypatch.setattr(relaying, "IDLE_SECONDS", 0.0)

    async def answers_late(helper):
        await asyncio.sleep(0.3)
        return replied(200)

    async with cut_off_vm(answers_late) as (entry_vm, [helper]):
        task = asyncio.create_task(serve(entry_vm))
        while not helper.received:
            await entry_vm.relayer.close_idle()
            await asyncio.sleep(0.01)
        await entry_vm.relayer.close_idle()
        assert (await task).status == 200
        assert entry_vm.relayer.used_at
        await entry_vm.relayer.close_idle()
        assert not entry_vm.relayer.used_at


async def test_a_service_that_is_down_for_all_asks_few_helpers():
    """Guards against a herd of relays where no VM reaches the service."""
    down = answering(relaymessages.RelayResponse("not-reached"))
    async with cut_off_vm(down, down, down, down) as (entry_vm, scripted):
        for _ in range(50):
            assert (await serve(entry_vm)).kind == errors.Kind.NO_ROOM
        received = sum(len(helper.received) for helper in scripted)
        assert received <= relaying.MAX_ASKED
        assert not entry_vm.own_record.is_cut_off


async def test_a_call_whose_time_is_over_takes_no_helper_from_the_others():
    """Guards against 503 for all because one upstream was slow for one call.

    The helper answers other calls all the while.
    """

    async def skips_the_first(helper):
        if len(helper.received) == 1:
            await never_answers(helper)
        return replied(200)

    async with cut_off_vm(skips_the_first) as (entry_vm, _):
        slow = asyncio.create_task(serve(entry_vm, seconds=0.4))
        await asyncio.sleep(0.2)
        assert (await serve(entry_vm)).status == 200
        assert (await slow).kind == errors.Kind.DEADLINE
        assert (await serve(entry_vm)).status == 200


async def test_a_frozen_helper_is_found_out_by_calls_with_little_time():
    """Guards against a frozen helper that goes on getting short calls."""
    async with cut_off_vm(never_answers) as (entry_vm, [helper]):
        helper.is_frozen = True
        assert (await serve(entry_vm, 0.5)).kind == errors.Kind.DEADLINE
        known = entry_vm.relayer.helpers
        async with asyncio.timeout(5):
            while not known.is_avoided("h0", entry_vm.now()):
                await asyncio.sleep(0.01)


async def test_a_call_without_time_takes_no_helper_from_the_others():
    """Guards against a helper that counts as out of reach as nobody waited."""
    async with cut_off_vm(answering(replied(200))) as (entry_vm, _):
        entry_vm.reach_watch.record_connect_failed("s1", "i1", 1, "refused")
        assert (await serve(entry_vm, seconds=0.001)).executed == "no"
        assert (await serve(entry_vm)).status == 200


async def test_a_service_pauses_only_if_all_helpers_say_they_do_not_reach_it():
    """Guards against 503 for up to 4 s while a helper that serves is at hand.

    One helper does not reach the service, the other has no capacity for 0.3 s.
    """
    down = answering(relaymessages.RelayResponse("not-reached"))
    async with cut_off_vm(down, answering(replied(200))) as (entry_vm, _):
        known = entry_vm.relayer.helpers
        known.avoid("h1", helpers.NO_CAPACITY_SECONDS, entry_vm.now())
        assert (await serve(entry_vm)).executed == "no"
        while known.is_avoided("h1", entry_vm.now()):
            await asyncio.sleep(0.01)
        assert (await serve(entry_vm)).status == 200


async def test_callers_come_back_when_the_only_helper_may_be_asked_again():
    """Guards against a herd at VMs whose helper has no capacity.

    Where most VMs are not cut off, callers are served by these at once.
    """
    full = answering(relaymessages.RelayResponse("no-capacity"))
    ok = answering(replied(200))
    async with cut_off_vm(full, ok, ok) as (entry_vm, [helper, *_]):
        known = entry_vm.relayer.helpers
        for name in ("h1", "h2"):
            known.entries[name].is_cut_off = True
        for _ in range(5):
            refusal = await serve(entry_vm)
            assert (refusal.kind, refusal.executed) == (
                errors.Kind.NO_ROOM,
                "no",
            )
            left = known.avoided_until["h0", ""] - entry_vm.now()
            assert left <= refusal.retry_after <= helpers.NO_CAPACITY_SECONDS
        assert len(helper.received) == 1
        known.entries["h1"].is_cut_off = False
        known.avoid("h1", 1.0, entry_vm.now())
        known.entries["h2"].is_cut_off = False
        known.avoid("h2", 1.0, entry_vm.now())
        assert (await serve(entry_vm)).retry_after == 0.05


# The helper.


def make_message(body=b"", left_ms=1000, service="s1"):
    return relaymessages.RelayedCall(
        service,
        "route",
        [],
        left_ms,
        500,
        1,
        False,
        [],
        b"q1",
        b"GET",
        b"/a/1",
        b"h",
        [(b"X-Request-Id", b"q1"), (b"X-B", b"\xc3\xa9")],
        body,
        None,
        "w1",
    )


async def test_a_helper_lends_no_more_than_it_can_bear():
    """Guards against a VM that drowns in the calls of others."""
    entry_vm = test_rogue_upstreams.make_entry_vm("127.0.0.1:1")
    helper = entry_vm.relay_helper
    refused = []

    async def is_refused(message):
        response = await helper.handle(message)
        refused.append(response.outcome == relaymessages.NO_CAPACITY)
        return refused[-1]

    assert not await is_refused(make_message())
    assert await is_refused(make_message(service="unknown"))
    helper.lent_calls = relayhelper.MAX_LENT_CALLS
    assert await is_refused(make_message())
    helper.lent_calls = 0
    helper.lent_bytes = relayhelper.MAX_LENT_BYTES
    assert await is_refused(make_message(b"x"))
    helper.lent_bytes = 0
    entry_vm.stop_deadline.set(entry_vm.now() + 0.5)
    assert await is_refused(make_message())
    entry_vm.stop_deadline.set(float("inf"))
    entry_vm.follower.freshness.as_of = None
    assert await is_refused(make_message())
    entry_vm.reach_watch.close()
    await entry_vm.dispatcher.close()


async def test_a_helper_sends_a_call_to_one_upstream_and_unchanged():
    """Guards against helpers that retry, and against bytes that get lost."""
    refusal = scripted.answer("503 Full", "X-Request-Id: q1", "X-Not-Run: full")
    first = scripted.ScriptedUpstream([refusal])
    second = scripted.ScriptedUpstream([test_stale_refusals.SERVED])
    await first.listen()
    await second.listen()
    entry_vm = test_rogue_upstreams.make_entry_vm(first.address)
    test_stale_refusals.add_last_choice(entry_vm, second)
    response = await entry_vm.relay_helper.handle(make_message())
    assert (response.outcome, response.upstream, response.executions) == (
        relaymessages.REFUSED,
        "i1",
        0,
    )
    [head] = first.requests
    assert b"X-B: \xc3\xa9\r\n" in head
    assert second.requests == []
    entry_vm.reach_watch.close()
    await entry_vm.dispatcher.close()
    first.close()
    second.close()


async def test_rates_of_upstreams_are_divided_between_vms_that_reach_them():
    """Guards against a limited upstream all senders of which are cut off."""
    entry_vm = test_rogue_upstreams.make_entry_vm("127.0.0.1:1")
    records = [
        registry.Upstream(
            f"u{n}", 1, 1, "s1", f"127.0.0.1:{n + 1}", "d1", 3, registry.SERVING
        )
        for n in range(8)
    ]
    entry_vm.registry.record_upstreams(3, 0, records)
    entry_vm._rebuild_pools()
    for record in records:
        entry_vm.fleet_view.statements.record(
            record.id, 1, 20.0, entry_vm.now()
        )
    cut_off = [
        controlmessages.EntryVm(
            f"cut-{n}", 1, "127.0.0.1:1", "r1", "z1", True, 1, True
        )
        for n in range(5)
    ]
    directory = controlmessages.Directory(1, 1, [entry_vm.own_record, *cut_off])
    entry_vm._adopt_directory(directory)
    pool = entry_vm.pools["s1"]
    rates = [
        pool.own_rate(pool.upstreams[record.id], entry_vm.now())
        for record in records
    ]
    entry_vm.reach_watch.close()
    await entry_vm.dispatcher.close()
    assert min(rates) > 0


async def test_the_last_helper_gets_more_time_to_connect():
    """Guards against a call that is denied as the VM that is left is busy."""
    replies = answering(replied(200))
    async with cut_off_vm(replies, replies, replies) as (entry_vm, scripted):
        waited = []

        async def connect_slowly(address, seconds):
            waited.append(seconds)
            await asyncio.sleep(min(seconds, 0.5))
            return seconds >= 0.5

        entry_vm.relayer.peers.connect = connect_slowly
        assert (await serve(entry_vm, seconds=3.0)).status == 200
        assert len(waited) == 3
        assert max(waited[:2]) <= relaying.CONNECT_SECONDS
        assert relaying.LAST_CONNECT_SECONDS >= waited[2] > 0.5


async def test_no_call_that_may_run_once_is_left_to_a_silent_helper():
    """Guards against callers held by a helper that is known to be frozen.

    They could be told at once that their call was not run.
    """
    async with cut_off_vm(never_answers) as (entry_vm, [helper]):
        helper.is_frozen = True
        await serve(entry_vm, seconds=2.0)
        assert entry_vm.relayer.helpers.is_avoided("h0", entry_vm.now())
        refusal = await serve(entry_vm, seconds=2.0)
        assert (refusal.kind, refusal.executed) == (errors.Kind.NO_ROOM, "no")
