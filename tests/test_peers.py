"""Calls between processes: broken streams, invalid messages, clocks."""

import asyncio
import contextlib
import io

import grpc.aio
import pytest

from pollenseam import errors
from pollenseam import events
from pollenseam import messages
from pollenseam import peers
from pollenseam import peerserver
from pollenseam import traffic
from pollenseam.standins import fleet


async def start_server(address, received):
    clock = events.LogicalClock()
    server = peerserver.Server(clock, traffic.Traffic())
    server.handle_stream(peers.DELIVER, received.append)

    async def answer(request):
        return messages.ReadIndexResponse(7, 0)

    server.handle(peers.READ, answer)
    await server.start(address)
    return server


STOP_ROUNDS = 100
OVERLAPPING_STOPS = 8


def batch(number):
    return messages.Batch(str(number), "a", "b", 0, [])


async def test_a_broken_stream_does_not_lose_later_messages():
    address = f"127.0.0.1:{fleet.free_port()}"
    received = []
    server = await start_server(address, received)
    client = peers.Client(events.LogicalClock())
    queue = asyncio.Queue()

    async def queued():
        while True:
            yield await queue.get()

    async def keep_sending():
        while True:
            with contextlib.suppress(errors.UnreachableError):
                await client.stream(address, peers.DELIVER, queued())
            await asyncio.sleep(0.02)

    task = asyncio.create_task(keep_sending())
    queue.put_nowait(batch(1))
    async with asyncio.timeout(10):
        while len(received) < 1:
            await asyncio.sleep(0.01)
        await server.stop(0)
        await asyncio.sleep(0.5)
        server = await start_server(address, received)
        await asyncio.sleep(2.0)
        queue.put_nowait(batch(2))
        while len(received) < 2:
            await asyncio.sleep(0.01)
    assert received[-1].sender == "2"
    task.cancel()
    await server.stop(0)
    await client.close()


async def test_invalid_messages_are_refused():
    address = f"127.0.0.1:{fleet.free_port()}"
    server = await start_server(address, [])
    async with grpc.aio.insecure_channel(address) as channel:
        stub = channel.unary_unary(f"/{peers.SERVICE}/Read")
        for data in (b"", b"\xff" * 40, b"\x91\xc0"):
            with pytest.raises(grpc.aio.AioRpcError) as raised:
                await stub(data, timeout=5)
            assert raised.value.code() == grpc.StatusCode.INVALID_ARGUMENT
    await server.stop(0)


async def test_logical_time_is_sent_with_every_message():
    address = f"127.0.0.1:{fleet.free_port()}"
    server = await start_server(address, [])
    clock = events.LogicalClock()
    clock.observe(1000)
    client = peers.Client(clock)
    answer = await client.call(address, peers.READ, messages.ReadIndex(0), 5)
    assert answer.index == 7
    assert answer.logical > 1000
    assert clock.time >= answer.logical
    await client.close()
    await server.stop(0)


async def test_calls_are_counted_by_method_outcome_and_bytes():
    address = f"127.0.0.1:{fleet.free_port()}"
    server = await start_server(address, [])
    client = peers.Client(events.LogicalClock())
    await client.call(address, peers.READ, messages.ReadIndex(0), 5.0)
    await server.stop(0)
    with pytest.raises(errors.UnreachableError):
        await client.call(address, peers.READ, messages.ReadIndex(0), 0.5)
    await client.close()
    counts = client.traffic.outcomes.counts
    assert counts[("Read", "client", "ok")] == 1
    assert counts.total() == 2
    assert client.traffic.bytes.counts[("Read", "received")] > 0
    assert 'pollenseam_peer_call_seconds_count{method="Read"} 2' in (
        client.traffic.expose()
    )


async def test_a_large_response_is_logged_on_both_sides():
    address = f"127.0.0.1:{fleet.free_port()}"
    stream = io.StringIO()
    log = events.open_log("v1", stream=stream)
    server = peerserver.Server(log.clock, traffic.Traffic(), log=log)

    async def answer(request):
        outcome = b"x" * (traffic.LARGE_RESPONSE_BYTES + 1)
        return messages.SubmitResponse(outcome, "", "", 0)

    server.handle(peers.SUBMIT, answer)
    await server.start(address)
    client = peers.Client(log.clock, log=log)
    await client.call(address, peers.SUBMIT, messages.Submit(b"", 0, 0), 5.0)
    await client.close()
    await server.stop(0)
    lines = [events.parse_line(line) for line in stream.getvalue().splitlines()]
    sides = {
        line["side"] for line in lines if line["event"] == "large-response"
    }
    assert sides == {"client", "server"}


async def test_a_response_in_parts_has_the_size_limit_of_a_message(monkeypatch):
    """Guards against a source whose response has no end."""
    address = f"127.0.0.1:{fleet.free_port()}"
    server = peerserver.Server(events.LogicalClock(), traffic.Traffic())
    outcome = b"x" * (3 * peers.PART_BYTES)

    async def answer(request):
        return messages.SubmitResponse(outcome, "", "", 0)

    server.handle_in_parts(peers.SUBMIT, answer)
    await server.start(address)
    client = peers.Client(events.LogicalClock())
    arguments = (address, peers.SUBMIT, messages.Submit(b"", 0, 0), 5.0, 5.0)
    assert (await client.call_in_parts(*arguments)).outcome == outcome
    monkeypatch.setattr(peers, "MAX_MESSAGE_BYTES", peers.PART_BYTES)
    with pytest.raises(errors.UnreachableError):
        await client.call_in_parts(*arguments)
    assert client.traffic.outcomes.counts[
        ("Submit", "client", "resource_exhausted")
    ]
    await client.close()
    await server.stop(0)


async def test_overlapping_stops_of_a_server_end_it_once():
    """Guards against a process that crashes as its server is stopped twice.

    The second of two stops in progress used to cancel the calls of a server
    that the first had freed.
    """
    for _ in range(STOP_ROUNDS):
        address = f"127.0.0.1:{fleet.free_port()}"
        server = peerserver.Server(events.LogicalClock(), traffic.Traffic())
        client = peers.Client(events.LogicalClock())
        stops = []

        async def stop_and_wait(request, server=server, stops=stops):
            for _ in range(OVERLAPPING_STOPS):
                stops.append(asyncio.create_task(server.stop(0)))
                await asyncio.sleep(0)
            await asyncio.sleep(60)

        server.handle(peers.READ, stop_and_wait)
        await server.start(address)
        with pytest.raises(errors.UnreachableError):
            await client.call(address, peers.READ, messages.ReadIndex(0), 5.0)
        await server.stop(0)
        await asyncio.gather(*stops)
        await client.close()


async def test_an_odd_message_silences_no_process():
    """Guards against a logical time after which nothing can be encoded.

    Nested too deeply, a message or an answer is one that cannot be read.
    """
    address = f"127.0.0.1:{fleet.free_port()}"
    server = await start_server(address, [])
    client = peers.Client(events.LogicalClock())
    other = peers.Client(events.LogicalClock())
    other.clock.time = 2**64 - 2
    for caller in (other, client):
        response = await caller.call(
            address, peers.READ, messages.ReadIndex(0), 2.0
        )
        assert response.index == 7 and response.logical < 10
    nested = b"\x92\x00" + b"\x91" * 100_000
    async with grpc.aio.insecure_channel(address) as channel:
        call = channel.unary_unary(f"/{peers.SERVICE}/Read")
        with pytest.raises(grpc.aio.AioRpcError) as caught:
            await call(nested)
    assert caught.value.code() == grpc.StatusCode.INVALID_ARGUMENT
    with pytest.raises(errors.UnreachableError):
        client._accept(address, peers.READ, nested, 0.0)
    await client.close()
    await other.close()
    await server.stop(0)
