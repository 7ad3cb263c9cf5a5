"""Tests of the HTTP front end: keys, headers, refusals and responses."""

import asyncio

import aiohttp
import harness
import pytest


@pytest.fixture
async def bench(tmp_path):
    async with harness.running(tmp_path) as new_bench:
        yield new_bench


async def problem(response):
    assert response.content_type == "application/problem+json"
    body = await response.json()
    assert response.headers["Pollenseam-Executed"] == body["executed"]
    return body["kind"], body["executed"]


async def test_a_keyed_request_reaches_an_upstream(bench):
    await bench.add_upstream()
    async with bench.request(path="/echo", method="POST", data=b"hi") as r:
        assert (r.status, await r.read()) == (200, b"hi")
        assert r.headers["Pollenseam-Vm"] == "v1"


@pytest.mark.parametrize(
    ("key", "status", "kind"),
    [
        ("", 401, "key-missing"),
        ("nonsense", 401, "key-unknown"),
        ("ps_000000000000_0", 401, "key-unknown"),
        ("other", 403, "forbidden"),
    ],
)
async def test_a_bad_key_is_refused_and_not_executed(bench, key, status, kind):
    stand_in = await bench.add_upstream()
    text = bench.other_key if key == "other" else key
    async with bench.request(key=text) as response:
        assert response.status == status
        assert await problem(response) == (kind, "no")
    assert stand_in.total == 0


async def test_no_upstream_sees_the_key_or_forged_headers(bench):
    stand_in = await bench.add_upstream()
    headers = {
        "X-Copy": f"key {bench.key}",
        "pOLLENSEAM-wORKSPACE": "forged",
        "Pollenseam-Anything": "forged",
        "Connection": "X-Secret",
        "X-Secret": "hop",
        "Te": "trailers",
    }
    async with bench.request(headers=headers) as response:
        assert response.status == 200
    text = str(list(stand_in.seen))
    assert bench.key not in text
    assert "forged" not in text
    assert "hop" not in text
    assert ["Pollenseam-Workspace", "w"] in stand_in.seen[-1]


async def test_a_key_in_the_target_is_refused(bench):
    stand_in = await bench.add_upstream()
    async with bench.request(path=f"/x?key={bench.key}") as response:
        assert await problem(response) == ("malformed", "no")
    assert stand_in.total == 0


HEAD = b"GET /open HTTP/1.1\r\nHost: svc.example\r\n"
POST = b"POST /open HTTP/1.1\r\nHost: svc.example\r\n"


@pytest.mark.parametrize(
    "data",
    [
        POST
        + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        HEAD + b"Host: other.example\r\n\r\n",
        b"GET /open HTTP/1.1\r\n\r\n",
        b"GET http://evil.example/open HTTP/1.1\r\nHost: svc.example\r\n\r\n",
        b"GET /open/../once HTTP/1.1\r\nHost: svc.example\r\n\r\n",
        b"GET /open/%2e%2e/once HTTP/1.1\r\nHost: svc.example\r\n\r\n",
        b"GET /open%2f..%2fonce HTTP/1.1\r\nHost: svc.example\r\n\r\n",
        HEAD + b"X-Big: " + b"a" * 40_000 + b"\r\n\r\n",
        HEAD + b"".join(b"X-%d: a\r\n" % n for n in range(300)) + b"\r\n",
        HEAD + b"Bad Header: a\r\n\r\n",
        HEAD + b"Request-Timeout-Ms: soon\r\n\r\n",
        HEAD + b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n",
        b"\x00\x01\x02 nonsense\r\n\r\n",
    ],
)
async def test_an_ambiguous_or_malformed_head_is_refused(bench, data):
    stand_in = await bench.add_upstream()
    answer = await bench.raw(data)
    status = int(answer.split(b" ", 2)[1])
    assert status in (400, 413, 431), answer[:200]
    assert stand_in.total == 0


async def test_an_encoded_path_cannot_pass_for_an_open_route(bench):
    stand_in = await bench.add_upstream()
    answer = await bench.raw(
        b"GET /%6fnce/1 HTTP/1.1\r\nHost: svc.example\r\n\r\n"
    )
    assert b" 401 " in answer.split(b"\r\n")[0]
    assert stand_in.total == 0


async def test_a_route_prefix_matches_whole_path_segments(bench):
    await bench.add_upstream()
    async with bench.request(path="/opened", key="") as response:
        assert response.status == 401


async def test_an_unknown_host_has_no_route(bench):
    headers = {"Host": "nobody.example"}
    async with bench.request(headers=headers) as response:
        assert await problem(response) == ("no-route", "no")


async def test_an_oversized_body_is_refused_before_it_runs(bench):
    stand_in = await bench.add_upstream()
    async with bench.request("POST", data=b"x" * 200_001) as response:
        assert response.status == 413
        assert await problem(response) == ("body-too-large", "no")
    assert stand_in.total == 0


async def test_an_oversized_streamed_body_is_refused(bench):
    stand_in = await bench.add_upstream()

    async def chunks():
        for _ in range(50):
            yield b"x" * 10_000

    async with bench.request("POST", data=chunks()) as response:
        assert response.status == 413
        assert (await problem(response))[1] == "unknown"
    await bench.until(lambda: stand_in.running == 0)
    assert "failures=1" not in str(bench.log.lines)


async def test_large_bodies_stream_both_ways(bench):
    await bench.add_upstream()
    async with bench.request(path="/big?chunks=64") as response:
        size = 0
        async for chunk in response.content.iter_any():
            size += len(chunk)
        assert size == 64 * 65536

    async def chunks():
        for _ in range(15):
            yield b"x" * 10_000

    async with bench.request("POST", "/echo", data=chunks()) as response:
        assert len(await response.read()) == 150_000


@pytest.mark.parametrize("path", ["/cut", "/cut-chunked"])
async def test_a_truncated_response_is_reported_as_an_error(bench, path):
    await bench.add_upstream()
    with pytest.raises(aiohttp.ClientError):
        async with bench.request("POST", path) as response:
            assert response.status in (200, 502)
            if response.status == 502:
                raise aiohttp.ClientError("refused before a byte was sent")
            await response.read()


async def test_a_post_is_not_retried_after_a_connection_reset(bench):
    stand_in = await bench.add_upstream()
    async with bench.request("POST", "/reset") as response:
        assert response.status == 502
        assert await problem(response) == ("upstream-failed", "unknown")
    assert stand_in.total == 1


async def test_a_get_is_retried_after_a_connection_reset(bench):
    first = await bench.add_upstream("u1")
    second = await bench.add_upstream("u2")
    async with bench.request("GET", "/reset") as response:
        assert await problem(response) == ("upstream-failed", "unknown")
    assert first.total == second.total == 1


async def test_an_unreachable_upstream_means_not_executed(bench):
    bench.announce("u1", "127.0.0.1:9", "r1")
    async with bench.request("POST") as response:
        assert response.status == 503
        assert await problem(response) == ("no-room", "no")


async def test_a_shed_post_is_retried_on_another_upstream(bench):
    full = await bench.add_upstream("u1", slots=1)
    free = await bench.add_upstream("u2", slots=1)
    full.running = 1
    async with bench.request("POST") as response:
        assert response.status == 200
    assert free.total == 1


async def test_full_upstreams_mean_not_executed(bench):
    full = await bench.add_upstream("u1", slots=1)
    full.running = 1
    async with bench.request("POST") as response:
        assert response.status == 503
        assert await problem(response) == ("no-room", "no")
    assert full.total == 0


async def test_a_request_waits_for_a_slot(bench):
    stand_in = await bench.add_upstream("u1", slots=1)
    headers = {"X-Work-Ms": "50"}
    answers = await asyncio.gather(
        *[bench.request(headers=headers) for _ in range(4)]
    )
    assert [a.status for a in answers] == [200] * 4
    assert stand_in.max_running == 1


async def test_a_service_without_upstreams_means_not_executed(bench):
    async with bench.request() as response:
        assert await problem(response) == ("no-room", "no")


async def test_the_deadline_cancels_the_upstreams_work(bench):
    stand_in = await bench.add_upstream()
    headers = {"X-Work-Ms": "5000", "Request-Timeout-Ms": "100"}
    async with bench.request("POST", headers=headers) as response:
        assert response.status == 504
        assert await problem(response) == ("deadline", "unknown")
    await bench.until(lambda: stand_in.cut_off == 1)


async def test_short_caller_timeouts_eject_no_upstream(bench):
    await bench.add_upstream("u1")
    await bench.add_upstream("u2")
    headers = {"X-Work-Ms": "300", "Request-Timeout-Ms": "10"}
    for _ in range(12):
        async with bench.request("POST", headers=headers) as response:
            assert response.status == 504
    now = bench.daemon.vm.now()
    pool = bench.daemon.vm.pool("/teams/t/services/svc")
    assert all(u.is_usable(now) for u in pool.upstreams.values())


async def test_the_remaining_time_is_sent_to_the_upstream(bench):
    stand_in = await bench.add_upstream()
    async with bench.request(headers={"Request-Timeout-Ms": "900"}):
        pass
    remaining_ms = dict(map(tuple, stand_in.seen[-1]))["Request-Timeout-Ms"]
    assert 0 < int(remaining_ms) <= 900


async def test_a_caller_disconnect_cancels_the_upstreams_work(bench):
    stand_in = await bench.add_upstream()
    task = asyncio.ensure_future(
        bench.request(headers={"X-Work-Ms": "5000"}).__aenter__()
    )
    await bench.until(lambda: stand_in.running == 1)
    task.cancel()
    await bench.until(lambda: stand_in.cut_off == 1)
    pool = bench.daemon.vm.pool("/teams/t/services/svc")
    await bench.until(lambda: pool.upstreams["u1"].in_flight == 0)


async def test_a_late_response_never_reaches_another_request(bench):
    await bench.add_upstream(slots=2)
    for number in range(20):
        headers = {"X-Work-Ms": "30", "Request-Timeout-Ms": "15"}
        async with bench.request(
            "POST", "/echo", headers=headers, data=b"late"
        ) as response:
            assert response.status == 504
        body = b"own %d" % number
        async with bench.request("POST", "/echo", data=body) as response:
            assert await response.read() == body


async def test_responses_to_head_and_empty_responses_keep_their_framing(bench):
    await bench.add_upstream()
    async with bench.request("HEAD", "/echo") as response:
        assert response.status == 200
    async with bench.request("GET", "/empty") as response:
        assert (response.status, await response.read()) == (204, b"")
    async with bench.request("GET", "/x") as response:
        assert response.status == 200


async def test_expect_continue_is_answered(bench):
    await bench.add_upstream()
    async with bench.request(
        "POST", "/echo", data=b"body", expect100=True
    ) as response:
        assert await response.read() == b"body"


async def test_stale_settings_refuse_only_requests_on_keyed_routes(bench):
    stand_in = await bench.add_upstream()
    bench.make_stale()
    async with bench.request() as response:
        assert response.status == 503
        assert await problem(response) == ("not-fresh", "no")
    assert stand_in.total == 0
    async with bench.request(path="/open", key="") as response:
        assert response.status == 200


async def test_a_withdrawn_key_is_refused_on_an_open_connection(bench):
    await bench.add_upstream()
    async with bench.request() as response:
        assert response.status == 200
    await bench.withdraw(bench.key)
    async with bench.request() as response:
        assert response.status == 401


async def test_a_workspace_over_its_rate_is_refused(bench):
    stand_in = await bench.add_upstream(slots=50)
    await asyncio.sleep(0.3)
    answers = await asyncio.gather(
        *[bench.request(key=bench.slow_key) for _ in range(30)]
    )
    refused = [a for a in answers if a.status == 429]
    assert refused and refused[0].headers["Retry-After"] == "1"
    assert stand_in.total <= 2 + 5 * 1.5
    counted = bench.daemon.vm.metrics.workspace_refused
    assert counted["/teams/t/workspaces/slow"] == len(refused)


async def test_no_key_or_token_is_ever_logged(bench):
    await bench.add_upstream()
    for path in ("/x", f"/x?{bench.key}", "/once/1"):
        async with bench.request(path=path):
            pass
    async with bench.request(key="ps_1_" + "a" * 48):
        pass
    text = "\n".join(bench.log.lines)
    assert "refused" in text
    for secret in (bench.key, "a" * 48, bench.key.split("_")[2]):
        assert secret not in text


async def test_a_forged_announcement_is_refused(bench):
    body = {
        "service": "svc",
        "upstream": "evil",
        "address": "127.0.0.1:1",
        "region": "r1",
        "failure_domain": "d1",
        "slots": 3,
        "incarnation": 1,
        "state": "serving",
        "ttl_ms": 3000,
    }
    url = f"http://{bench.caller}/.pollenseam/announce"
    announcing_key = "ps_00000000beef_" + "b" * 48
    await bench.issue(announcing_key, "/teams/t/services/svc")
    cases = [
        ("", body, 401),
        (bench.key, body, 403),
        ("ps_1_2", body, 401),
        (announcing_key, {**body, "failure_domain": "d2"}, 403),
        (announcing_key, {**body, "slots": 0}, 400),
        (announcing_key, {**body, "extra": 0}, 400),
        (announcing_key, {**body, "address": "host:1"}, 400),
        (announcing_key, {**body, "state": "asleep"}, 400),
    ]
    for key, announced, status in cases:
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        async with bench.session.post(
            url, json=announced, headers=headers
        ) as response:
            assert response.status == status, announced
    assert not bench.daemon.vm.directory.upstreams
    headers = {"Authorization": f"Bearer {announcing_key}"}
    for state, status in [("leaving", 200), ("serving", 409)]:
        async with bench.session.post(
            url, json={**body, "state": state}, headers=headers
        ) as response:
            assert response.status == status


async def test_a_request_that_may_outlast_a_stopping_vm_is_refused_at_once(
    bench,
):
    """Guards against requests that are taken late in a stop and then cut."""
    stand_in = await bench.add_upstream()
    local_vm = bench.daemon.vm
    local_vm.stop_deadline = local_vm.now() + 1.0
    async with bench.request() as response:
        assert response.status == 503
        assert await problem(response) == ("stopping", "no")
    assert stand_in.total == 0
    headers = {"Request-Timeout-Ms": "500"}
    async with bench.request(headers=headers) as response:
        assert response.status == 200


async def test_answers_of_a_stopping_vm_close_their_connections(tmp_path):
    """Guards against callers that find out from a cut request."""
    async with harness.running(tmp_path) as bench:
        await bench.add_upstream()
        async with bench.request() as response:
            assert response.status == 200
            assert "Connection" not in response.headers
        stopping = asyncio.create_task(bench.daemon.stop())
        await bench.until(lambda: bench.daemon.vm.lifecycle.state == "leaving")
        async with bench.request() as response:
            assert response.status == 200
            assert response.headers["Connection"] == "close"
        await stopping
