"""Upstreams that say in responses that they leave, or ask for a pause."""

import time
import types

import gateway
import machines
import pytest
import scripted
import test_relaying
import test_rogue_upstreams

from pollenseam import crashwatch
from pollenseam import errors
from pollenseam import relaymessages
from pollenseam import upstreamstatements

# Time after which no VM sends to an upstream that has said that it leaves.
DRAIN_SECONDS = 2.5
# Time that a VM has to obey a request for a pause.
PAUSE_GRACE_SECONDS = 0.5
# Requests that may reach an upstream from one VM after that.
MAX_IN_PAUSE = 2


async def is_served_by(cluster, entry_index, server):
    """Sends a request about each of many objects to one entry VM."""
    before = len(server.arrived_at)
    for number in range(24):
        await cluster.request(
            entry_index=entry_index,
            headers={"Cookie": f"X-Affinity-Key={number}"},
        )
    return len(server.arrived_at) > before


async def test_an_upstream_that_says_it_leaves_gets_no_more_requests(tmp_path):
    """Guards against requests to an upstream that has said that it leaves.

    Only its responses say so: its heartbeats go on as before. One VM hears it,
    the others are told. A later start of the upstream is used again.
    """
    async with machines.running_cluster(tmp_path, entry_count=3) as cluster:
        await cluster.add_server("i-1")
        leaving = await cluster.add_server("i-2")
        async with cluster.sending_heartbeats():
            for entry_index in range(3):
                await cluster.wait_until(
                    lambda n=entry_index: is_served_by(cluster, n, leaving)
                )
            leaving.reply_headers["Server-Leaving"] = "1"
            assert await is_served_by(cluster, 0, leaving)
            heard_at = leaving.arrived_at[-1]
            statuses = await cluster.send_evenly(seconds=5.0, per_second=40)
            late = [
                t for t in leaving.arrived_at if t > heard_at + DRAIN_SECONDS
            ]
            assert not late
            assert set(statuses) == {200}
            del leaving.reply_headers["Server-Leaving"]
            leaving.started_at_ms = time.time_ns() // 1_000_000
            leaving.sequence = 0
            await cluster.wait_until(lambda: is_served_by(cluster, 1, leaving))


async def test_an_upstream_gets_the_pause_that_it_asks_for(tmp_path):
    """Guards against requests to an upstream that asked for a pause.

    It asks each VM by itself, for a fraction of seconds. Meanwhile the other
    upstream is not fast enough for all requests.
    """
    async with machines.running_cluster(tmp_path, entry_count=3) as cluster:
        slow = await cluster.add_server("i-1")
        busy = await cluster.add_server("i-2")
        async with cluster.sending_heartbeats():
            for entry_index in range(3):
                await cluster.wait_until(
                    lambda n=entry_index: is_served_by(cluster, n, busy)
                )
            slow.delay_seconds = 0.3
            busy.status = 503
            busy.reply_headers |= {"X-Not-Run": "1", "Retry-After": "2.5"}
            busy.arrived_at.clear()
            busy.arrived_paths.clear()
            await cluster.send_evenly(seconds=8.0, per_second=40)
    assert busy.arrived_at
    for entry_index in range(3):
        times = arrivals_from(busy, entry_index, len(cluster.entry_vms))
        for answered_at in times:
            in_pause = [
                t
                for t in times
                if answered_at + PAUSE_GRACE_SECONDS < t < answered_at + 2.5
            ]
            assert len(in_pause) <= MAX_IN_PAUSE


def arrivals_from(server, entry_index, entry_count):
    """Returns when the requests of `send_evenly` arrived from one VM."""
    return [
        t
        for t, path in zip(server.arrived_at, server.arrived_paths, strict=True)
        if int(path.rpartition("/")[2]) % entry_count == entry_index
    ]


async def test_a_request_is_refused_until_the_shortest_pause_ends(tmp_path):
    """Guards against callers that are told to wait longer than needed."""
    async with machines.running_cluster(tmp_path) as cluster:
        servers = [await cluster.add_server(f"i-{n}") for n in range(2)]
        async with cluster.sending_heartbeats():
            for server in servers:
                await cluster.wait_until(
                    lambda s=server: is_served_by(cluster, 0, s)
                )
            for server, pause in zip(servers, ("2.5", "20"), strict=True):
                server.status = 503
                server.reply_headers |= {"X-Not-Run": "1", "Retry-After": pause}
            await cluster.wait_until(lambda: asks_to_wait(cluster))
            for server in servers:
                server.arrived_at.clear()
            status, headers, _ = await cluster.request()
            assert status == 503
            assert 0 < float(headers["Retry-After"]) <= 2.5
            assert not servers[0].arrived_at + servers[1].arrived_at


async def asks_to_wait(cluster):
    """Returns whether the last of some requests got a long Retry-After."""
    for number in range(24):
        _, headers, _ = await cluster.request(
            headers={"Cookie": f"X-Affinity-Key={number}"}
        )
    return float(headers.get("Retry-After", "0")) > 1.0


@pytest.mark.parametrize(
    "text", ["-1", "0", "inf", "nan", "1e300", "Sat, 05 Dec 2026 08:00:00 GMT"]
)
async def test_a_pause_that_cannot_be_meant_is_ignored(tmp_path, text):
    """Guards against an upstream that is lost for good by an odd value."""
    async with machines.running_cluster(tmp_path) as cluster:
        server = await cluster.add_server("i-1")
        async with cluster.sending_heartbeats():
            await cluster.wait_until(lambda: is_served_by(cluster, 0, server))
            server.status = 503
            server.reply_headers |= {"X-Not-Run": "1", "Retry-After": text}
            assert (await cluster.request())[0] == 503
            server.status = 200
            server.reply_headers.clear()
            await cluster.wait_until(lambda: has_status_200(cluster))
        await cluster.wait_for_line(cluster.entry_vms[0], "event=pause-invalid")


async def has_status_200(cluster):
    return (await cluster.request())[0] == 200


@pytest.mark.parametrize("seconds", [0.1 + 0.2, 2 / 3, 5 / 7 + 3.0])
def test_a_fraction_in_full_precision_is_a_pause(seconds):
    """Guards against pauses that are ignored for their many decimals."""
    assert upstreamstatements.parse_pause(str(seconds)) == seconds


async def test_the_end_of_an_upstream_that_said_it_leaves_is_no_crash():
    """Guards against requests that are blocked for ends that were planned."""
    vm = test_rogue_upstreams.make_entry_vm("127.0.0.1:1")
    vm.fleet_view.statements.record_leaving("i1", 1, vm.now())
    start = crashwatch.UpstreamStart("i1", 1, "s1", "127.0.0.1:1")
    assert vm.dispatcher.sender.crash_watch.is_leaving(start)
    await vm.dispatcher.close()


async def test_a_relayed_response_that_says_leaving_counts_here_too():
    """Guards against requests from a VM that passed on that answer.

    It is cut off from control VMs too, so that nobody else tells it.
    """
    headers = [(b"X-Request-Id", b"q1"), (b"Server-Leaving", b"1")]
    reply = relaymessages.RelayedReply(200, b"OK", headers, b"")
    answer = test_relaying.answering(
        relaymessages.RelayResponse("replied", reply, None, "i1", 1)
    )
    async with test_relaying.cut_off_vm(answer) as (vm, _):
        assert (await test_relaying.serve(vm)).status == 200
        assert vm.fleet_view.statements.is_over("i1", 1)


@pytest.mark.parametrize(("pause", "least"), [("0.4", 0.0), ("20", 10.0)])
async def test_a_call_that_was_turned_away_is_told_when_the_pause_ends(
    pause, least
):
    """Guards against a Retry-After that has nothing to do with the pauses."""
    answer = scripted.answer(
        "503 Busy", "X-Request-Id: q1", "X-Not-Run: 1", f"Retry-After: {pause}"
    )
    upstream = scripted.ScriptedUpstream([answer])
    await upstream.listen()
    vm = test_rogue_upstreams.make_entry_vm(upstream.address)
    refusal = await test_relaying.serve(vm)
    await vm.dispatcher.close()
    upstream.close()
    assert (refusal.kind, refusal.executed) == (errors.Kind.NO_ROOM, "no")
    assert refusal.retry_after is not None
    assert least < refusal.retry_after <= float(pause)


def test_a_statement_of_a_start_that_nobody_announces_ends_no_other_for_good():
    """Guards against an upstream that is lost by one odd statement."""
    table = upstreamstatements.Table()
    odd = upstreamstatements.Statement("i1", 9, -1.0, 0, is_leaving=True)
    table.adopt([odd], 0.0)
    assert table.is_over("i1", 5)

    def find_latest(id):
        return upstreamstatements.Latest(5, False)

    table.retain(find_latest, upstreamstatements.RETAIN_SECONDS)
    assert table.is_over("i1", 5)
    table.retain(find_latest, upstreamstatements.RETAIN_SECONDS + 0.1)
    assert not table.is_over("i1", 5)


@pytest.mark.parametrize(("echoed", "load"), [("q1", (7, 2)), ("q0", (-1, 0))])
def test_the_load_in_the_copy_of_an_earlier_response_is_not_used(echoed, load):
    """Guards against an upstream that counts as full by a late copy."""
    headers = {"X-Request-Id": echoed, "X-Server-Load": "7,2,3"}
    response = types.SimpleNamespace(status=200, headers=headers)
    call = types.SimpleNamespace(id="q1")
    head = gateway.PlatformProtocol().read_head(call, response)
    assert (head.running, head.waiting) == load
