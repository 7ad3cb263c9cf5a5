"""Upstreams that say in responses that they leave."""

import asyncio
import time

import machines

# Time after which no VM sends to an upstream that has said that it leaves.
DRAIN_SECONDS = 2.5


async def is_served_by(cluster, entry_index, server):
    """Sends a request about each of many objects to one entry VM."""
    before = len(server.arrived_at)
    for number in range(24):
        await cluster.request(
            entry_index=entry_index,
            headers={"Cookie": f"X-Affinity-Key={number}"},
        )
    return len(server.arrived_at) > before


async def send_evenly(cluster, seconds, per_second=40):
    """Sends requests about many objects to all entry VMs in turn."""
    requests = []
    for number in range(int(seconds * per_second)):
        requests.append(
            asyncio.create_task(
                cluster.request(
                    f"/a/{number}",
                    entry_index=number % len(cluster.entry_vms),
                    headers={"Cookie": f"X-Affinity-Key={number % 24}"},
                )
            )
        )
        await asyncio.sleep(1 / per_second)
    return [status for status, _, _ in await asyncio.gather(*requests)]


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
            statuses = await send_evenly(cluster, seconds=5.0)
            late = [
                t for t in leaving.arrived_at if t > heard_at + DRAIN_SECONDS
            ]
            assert not late
            assert set(statuses) == {200}
            del leaving.reply_headers["Server-Leaving"]
            leaving.started_at_ms = time.time_ns() // 1_000_000
            leaving.sequence = 0
            await cluster.wait_until(lambda: is_served_by(cluster, 1, leaving))
