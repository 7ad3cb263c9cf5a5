"""Requests that crash the upstreams that run them."""

import asyncio
import json
import time

import machines

DEADLY_PATH = "/a/deadly"
# Time within which all VMs must know of a deadly request.
CONTACT_SECONDS = 4.0


async def test_a_request_that_crashed_three_upstreams_is_sent_no_more(tmp_path):
    """Guards against a request that crashes upstream after upstream.

    Its callers send it again and again, with new ids, to any VM. Each VM used
    to know only what happened in one call. Proper requests run beside it.
    """
    async with machines.running_cluster(tmp_path, entry_count=3) as cluster:
        for number in range(6):
            server = await cluster.add_server(f"i-{number}")
            server.delay_seconds = 0.05
            server.deadly_path = DEADLY_PATH
        async with cluster.sending_heartbeats():
            await cluster.wait_until(lambda: all_serve(cluster))
            proper = asyncio.create_task(send_proper(cluster))
            arrivals = await send_deadly(cluster)
            answers = await proper
    third_crash = sorted(arrivals)[2]
    late = [t for t in arrivals if t > third_crash + CONTACT_SECONDS]
    assert len(late) <= 3
    assert "crashes-upstreams" not in {kind for _, kind in answers}
    assert sum(status == 200 for status, _ in answers) >= 0.8 * len(answers)


async def all_serve(cluster):
    answers = [await cluster.request(entry_index=n) for n in range(3)]
    return {status for status, _, _ in answers} == {200}


async def send_deadly(cluster):
    """Sends the deadly request for a while; returns when upstreams crashed."""
    until = time.monotonic() + 2 * CONTACT_SECONDS + 2.0
    number = 0
    while time.monotonic() < until:
        number += 1
        await cluster.request(DEADLY_PATH, entry_index=number % 3)
        await asyncio.sleep(0.1)
    return [t for server in cluster.servers for t in server.crash_times]


async def send_proper(cluster):
    """Sends other requests; returns pairs of status and kind of error."""
    requests = []
    for number in range(400):
        request = cluster.request(
            f"/a/{number % 150}",
            entry_index=number % 3,
            headers={"Cookie": f"X-Affinity-Key={number % 24}"},
        )
        requests.append(asyncio.create_task(request))
        await asyncio.sleep(0.02)
    answers = []
    for status, headers, body in await asyncio.gather(*requests):
        is_refusal = headers["Content-Type"].startswith("application/json")
        kind = json.loads(body)["error"] if is_refusal else ""
        answers.append((status, kind))
    return answers
