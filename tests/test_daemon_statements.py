"""Upstreams of a daemon that say that they leave, or ask for a pause."""

import asyncio
import time

import harness
import pytest

SERVICE = "/teams/t/services/svc"


@pytest.fixture
async def bench(tmp_path):
    async with harness.running(tmp_path) as new_bench:
        yield new_bench


async def statuses(bench, count):
    found = []
    for _ in range(count):
        async with bench.request("POST") as response:
            found.append(response.status)
    return found


async def test_an_upstream_that_says_it_leaves_gets_no_more_requests(bench):
    """Guards against requests to an upstream that has said that it leaves.

    Its announcement still says that it serves. A later start is used again.
    """
    staying = await bench.add_upstream("u1")
    leaving = await bench.add_upstream("u2")
    assert set(await statuses(bench, 20)) == {200}
    leaving.state = "leaving"
    total = leaving.total
    while leaving.total == total:
        assert await statuses(bench, 1) == [200]
    assert "event=stated-leaving" in "".join(bench.log.lines)
    total = leaving.total
    assert set(await statuses(bench, 40)) == {200}
    assert leaving.total == total
    assert staying.total > 40
    leaving.state = "serving"
    address = (
        bench.daemon.vm.pool("/teams/t/services/svc")
        .upstreams["u2"]
        .record.address
    )
    bench.announce("u2", address, "r1", leaving, incarnation=2)
    assert set(await statuses(bench, 40)) == {200}
    assert leaving.total > total


async def test_a_request_is_refused_until_the_shortest_pause_ends(bench):
    """Guards against requests to upstreams that asked for a pause."""
    stand_ins = []
    for name, pause in (("u1", "1.5"), ("u2", "20")):
        stand_in = await bench.add_upstream(name, slots=1, pause=pause)
        stand_in.running = 1
        stand_ins.append(stand_in)

    async def are_paused():
        async with bench.request("POST") as response:
            body = await response.json()
            return "asked for a pause" in body["detail"]

    deadline = time.monotonic() + 5
    while not await are_paused():
        assert time.monotonic() < deadline
    seen = sum(len(s.seen) for s in stand_ins)
    async with bench.request("POST") as response:
        assert response.status == 503
        assert 0 < int(response.headers["Retry-After"]) <= 2
        assert (await response.json())["executed"] == "no"
    assert sum(len(s.seen) for s in stand_ins) == seen
    for stand_in in stand_ins:
        stand_in.running = 0
    while 200 not in await statuses(bench, 1):
        assert time.monotonic() < deadline
        await asyncio.sleep(0.05)
    assert stand_ins[1].total == 0


async def test_a_pause_that_cannot_be_meant_is_ignored(bench):
    """Guards against an upstream that is lost for good by an odd value."""
    stand_in = await bench.add_upstream("u1", slots=1, pause="1e300")
    stand_in.running = 1
    assert await statuses(bench, 1) == [503]
    stand_in.running = 0
    assert await statuses(bench, 1) == [200]
    assert "event=pause-invalid" in "".join(bench.log.lines)


async def test_what_an_earlier_start_says_is_not_held_against_the_new_one(
    bench,
):
    """Guards against a new start that gets nothing until it starts again.

    The earlier start answers, while it leaves, after the new one is announced.
    """
    old = await bench.add_upstream("u1")
    old.state = "leaving"
    slow = {"X-Work-Ms": "300"}
    last = asyncio.create_task(bench.request("POST", headers=slow).__aenter__())
    await bench.until(lambda: old.running)
    new = await bench.add_upstream("u2")
    address = bench.daemon.vm.pool(SERVICE).upstreams["u2"].record.address
    bench.announce("u2", address, "r1", new, state="gone", beat=2)
    bench.announce("u1", address, "r1", new, incarnation=2)
    async with await last as response:
        assert response.status == 200
    assert set(await statuses(bench, 5)) == {200}
    assert new.total == 5


async def test_no_request_waits_where_all_upstreams_pause_for_longer(bench):
    """Guards against callers held for a slot that cannot come in time.

    Others wait already: those must not hide the pause from the next one.
    """
    stand_in = await bench.add_upstream("u1", slots=1, pause="20")
    first = {"X-Work-Ms": "400"}
    running = asyncio.create_task(
        bench.request("POST", headers=first).__aenter__()
    )
    await bench.until(lambda: stand_in.running)
    waiting = asyncio.create_task(statuses(bench, 1))
    queues = bench.daemon.admission.queues
    await bench.until(lambda: SERVICE in queues and queues[SERVICE].count)
    local_vm = bench.daemon.vm
    local_vm.fleet_view.statements.record_pause(
        f"{SERVICE}/u1", 1, 20.0, local_vm.now()
    )
    started_at = time.monotonic()
    async with bench.request("POST") as response:
        assert response.status == 503
        assert "asked for a pause" in (await response.json())["detail"]
    assert time.monotonic() - started_at < 0.3
    assert await waiting == [503]
    (await running).close()
