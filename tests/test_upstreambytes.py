"""Bodies in flight to one upstream."""

import asyncio

import hypothesis
import pytest
import test_rogue_upstreams
from aiohttp import web
from hypothesis import strategies

from pollenseam import errors
from pollenseam import upstreambytes


def test_a_single_body_is_admitted_whatever_its_size():
    held = upstreambytes.UpstreamBytes(100)
    assert held.begin("i-1", 1000)
    assert not held.begin("i-1", 1)
    assert held.begin("i-2", 1)
    held.end("i-1", 1000)
    assert held.begin("i-1", 1)
    assert held.refused == 1


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("ab"), strategies.integers(1, 100)
        ),
        max_size=50,
    )
)
def test_bodies_together_stay_within_the_bound(bodies):
    held = upstreambytes.UpstreamBytes(100)
    sent = [body for body in bodies if held.begin(*body)]
    for upstream in "ab":
        total = sum(size for id, size in sent if id == upstream)
        assert total == held.in_flight.get(upstream, 0) <= 100
    for body in sent:
        held.end(*body)
    assert not held.in_flight


async def test_a_body_beyond_the_bound_is_refused_as_not_run():
    arrived = asyncio.Queue()
    may_answer = asyncio.Event()

    async def answer(request):
        arrived.put_nowait(await request.read())
        await may_answer.wait()
        return web.Response(
            headers={"X-Request-Id": "q1", "X-Reply-Stamp": "s"}
        )

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = site._server.sockets[0].getsockname()
    entry_vm = test_rogue_upstreams.make_entry_vm(f"{host}:{port}")
    entry_vm.dispatcher.upstream_bytes.max_bytes = 100

    def make_call(size):
        call = test_rogue_upstreams.make_call(entry_vm)
        call.method = "POST"
        call.body = b"x" * size
        return call

    first = asyncio.create_task(entry_vm.serve(make_call(60)))
    async with asyncio.timeout(10):
        await arrived.get()
        with pytest.raises(errors.RefusedError) as caught:
            await entry_vm.serve(make_call(60))
    assert caught.value.refusal.kind == errors.Kind.NO_ROOM
    assert caught.value.refusal.executed == "no"
    assert caught.value.refusal.retry_after
    may_answer.set()
    assert (await first).status == 200
    assert (await entry_vm.serve(make_call(60))).status == 200
    assert arrived.qsize() == 1
    assert not entry_vm.dispatcher.upstream_bytes.in_flight
    await entry_vm.dispatcher.close()
    await runner.cleanup()
