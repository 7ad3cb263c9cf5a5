"""A daemon whose connects to upstreams fail: what it answers, and when."""

import asyncio
from asyncio import selector_events

import harness
import pytest

from pollenseam.standins import fleet

SERVICE = "/teams/t/services/svc"


@pytest.fixture
async def bench(tmp_path):
    async with harness.running(tmp_path) as new_bench:
        yield new_bench


@pytest.fixture
def cut(monkeypatch):
    """Returns a set of ports; connects to them hang."""
    ports = set()
    connect = selector_events.BaseSelectorEventLoop.sock_connect

    async def connect_or_hang(loop, sock, address):
        if address[1] in ports:
            await asyncio.sleep(60)
        await connect(loop, sock, address)

    monkeypatch.setattr(
        selector_events.BaseSelectorEventLoop, "sock_connect", connect_or_hang
    )
    return ports


def add_unreachable(bench, count):
    ports = [fleet.free_port() for _ in range(count)]
    for port in ports:
        bench.announce(f"u{port}", f"127.0.0.1:{port}", "r1")
    return ports


async def refusal(response):
    body = await response.json()
    return response.status, body["kind"], body["executed"]


async def test_refused_connects_are_not_run_and_cost_no_more_connects(bench):
    """Guards against 502 for requests that no upstream ever received."""
    [port, *_] = add_unreachable(bench, 4)
    for _ in range(30):
        async with bench.request("POST") as response:
            assert await refusal(response) == (503, "no-room", "no")
            assert int(response.headers["Retry-After"]) >= 1
    counts = bench.daemon.vm.metrics.connects.counts
    # Those of the first request, and two at a time to find a way.
    assert counts[SERVICE, "refused"] <= 8
    assert bench.daemon.vm.reach_watch.unreached() == [SERVICE]
    log = "\n".join(bench.log.lines)
    assert "event=service-unreached" in log
    # Back as soon as a connection can be opened.
    stand_in = await bench.add_upstream("u9")
    await bench.until(lambda: not bench.daemon.vm.reach_watch.unreached(), 3)
    async with bench.request("POST") as response:
        assert response.status == 200
    assert stand_in.total == 1


async def test_a_deadline_in_a_connect_means_not_executed(bench, cut):
    """Guards against 504 unknown for requests that no upstream received."""
    cut.update(add_unreachable(bench, 4))
    headers = {"Request-Timeout-Ms": "150"}
    async with bench.request("POST", headers=headers) as response:
        assert await refusal(response) == (504, "deadline", "no")


async def test_requests_that_wait_for_a_slot_are_refused_when_it_is_lost(
    bench, cut
):
    """Guards against requests that wait in vain for upstreams out of reach.

    Each new upstream gets one request at a time, so two of six get a slot.
    """
    cut.update(add_unreachable(bench, 2))
    answers = await asyncio.gather(*[bench.request("POST") for _ in range(6)])
    assert {await refusal(a) for a in answers} == {(503, "no-room", "no")}
    details = [(await a.json())["detail"] for a in answers]
    expected = "this VM reaches no upstream of the service"
    assert all(detail.startswith(expected) for detail in details), details
    upstreams = bench.daemon.vm.pool(SERVICE).upstreams.values()
    assert sum(upstream.in_flight for upstream in upstreams) == 0


async def test_the_reach_of_one_service_says_nothing_about_others(bench):
    """Guards against a VM that gives up all services for one."""
    add_unreachable(bench, 2)
    async with bench.request("POST") as response:
        assert response.status == 503
    local_vm = bench.daemon.vm
    assert local_vm.reach_watch.is_out_of_reach(SERVICE)
    assert not local_vm.reach_watch.is_out_of_reach("/teams/t/services/other")
    url = f"http://{bench.caller}/.pollenseam/health"
    async with bench.session.get(url) as response:
        health = await response.json()
    assert (health["state"], health["unreached"]) == ("serving", [SERVICE])


@pytest.mark.parametrize("delay_seconds", [0.0, 0.02])
async def test_a_streamed_body_is_sent_whole_or_not_at_all(
    bench, delay_seconds
):
    """Guards against the rest of a body that runs as the whole one.

    One upstream shed the request when it had received a part of the body; the
    other one got what was left, and ran it.
    """
    full = await bench.add_upstream("u1", slots=1)
    full.running = 1
    await bench.add_upstream("u2", slots=1)

    async def chunks():
        for _ in range(15):
            yield b"x" * 10_000
            await asyncio.sleep(delay_seconds)

    for _ in range(10):
        async with bench.request("POST", "/echo", data=chunks()) as response:
            if response.status == 200:
                assert len(await response.read()) == 150_000
            else:
                assert await refusal(response) == (503, "no-room", "no")
