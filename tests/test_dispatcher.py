"""Calls of an entry VM some of whose upstreams ended."""

import asyncio
import random

import pytest
import test_relaying
from aiohttp import web

from pollenseam import errors
from pollenseam import registry
from pollenseam import relaymessages
from pollenseam.standins import fleet

MEASURE_SECONDS = 4.0
CALLERS = 4
MIN_SERVED_RATIO = 0.9


async def answer(request):
    await asyncio.sleep(0.02)
    headers = {"X-Request-Id": "q1", "X-Reply-Stamp": "s"}
    return web.Response(headers=headers | {"Connection": "close"})


async def add_upstreams(entry_vm, ended_count, serving_count):
    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    ports = [fleet.free_port() for _ in range(ended_count)]
    for _ in range(serving_count):
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        ports.append(site._server.sockets[0].getsockname()[1])
    records = [
        registry.Upstream(
            f"u{n}", 1, 1, "s1", f"127.0.0.1:{port}", "d1", 8, registry.SERVING
        )
        for n, port in enumerate(ports)
    ]
    entry_vm.registry.upstreams.clear()
    entry_vm.registry.record_upstreams(3, 0, records)
    entry_vm._rebuild_pools()
    return runner


@pytest.mark.parametrize(("ended", "serving"), [(2, 1), (16, 2)])
async def test_upstreams_that_are_left_serve_when_most_others_ended(
    ended, serving
):
    """Guards against VMs that take ended upstreams for a cut of their own.

    No VM reaches the ended ones; each reaches those that are left.
    """
    random.seed(1)
    down = test_relaying.answering(relaymessages.RelayResponse("not-reached"))
    async with test_relaying.cut_off_vm(down, is_idempotent=True) as (vm, _):
        runner = await add_upstreams(vm, ended, serving)
        counts = {200: 0, errors.Kind.NO_ROOM: 0}
        until = vm.now() + MEASURE_SECONDS

        async def call_in_turn():
            while vm.now() < until:
                answered = await test_relaying.serve(vm, seconds=1.0)
                counts[getattr(answered, "status", None) or answered.kind] += 1
                await asyncio.sleep(0.03)

        await asyncio.gather(*(call_in_turn() for _ in range(CALLERS)))
        await runner.cleanup()
    assert counts[200] >= MIN_SERVED_RATIO * sum(counts.values()), counts


async def test_upstreams_in_regions_that_are_not_allowed_are_no_way():
    """Guards against calls held for connects to upstreams known to fail."""
    down = test_relaying.answering(relaymessages.RelayResponse("not-reached"))
    async with test_relaying.cut_off_vm(down) as (vm, _):
        runner = await add_upstreams(vm, 2, 1)
        upstreams = vm.pools["s1"].upstreams
        for name in ("u0", "u1"):
            vm.reach_watch.record_connect_failed("s1", name, 3, "refused")
            upstreams[name].region = "r2"
        route = vm.table.find_route("h", "/a/1").route
        route.allowed_regions = ["r2"]
        refusal = await test_relaying.serve(vm, seconds=1.0)
        assert "this VM reaches no upstream" in refusal.detail
        route.allowed_regions = []
        assert (await test_relaying.serve(vm, seconds=1.0)).status == 200
        await runner.cleanup()
