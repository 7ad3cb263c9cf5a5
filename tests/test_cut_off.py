"""Entry VMs that are cut off from upstreams, as real programs."""

import asyncio
import time

import cuts
import pytest

# From this time after the cut on, callers must be served.
CONTACT_SECONDS = 3.0
MEASURE_SECONDS = 3.0
CALLERS = 2
# Objects that the requests concern; each has an upstream of its own.
OBJECTS = 12
# The rule asks for two thirds of what the others serve.
MIN_SERVED_RATIO = 2 / 3


async def count_first_tries(cluster, entry_index, seconds):
    """Returns how many first tries of some callers were sent and served."""
    counts = [0, 0]
    until = time.monotonic() + seconds

    async def call_in_turn(number):
        while time.monotonic() < until:
            counts[0] += 1
            path = f"/a/{number}" if counts[0] % 3 else "/b/1"
            method = "GET" if counts[0] % 3 else "POST"
            cookie = f"X-Affinity-Key={counts[0] % OBJECTS}"
            status, _, _ = await cluster.request(
                path,
                entry_index=entry_index,
                method=method,
                headers={"Cookie": cookie},
            )
            counts[1] += status == 200
            await asyncio.sleep(0.03)

    await asyncio.gather(*(call_in_turn(n) for n in range(CALLERS)))
    return counts


@pytest.mark.parametrize(
    ("connects", "kept"),
    [
        ("hang", "hang"),
        ("refuse", "none"),
        ("refuse", "live"),
        ("reset", "reset"),
    ],
)
async def test_an_entry_vm_cut_off_from_all_upstreams_serves_like_the_others(
    tmp_path, connects, kept
):
    """Guards against callers whose entry VM reaches no upstream: 503 for all.

    The entry VM stayed in the directory and ready, and served 3 of 247 first
    tries where the others served 567 of 576.
    """
    async with cuts.running_cluster(tmp_path) as cluster:
        if kept == "none":
            for server in cluster.servers:
                server.reply_headers["Connection"] = "close"
        await count_first_tries(cluster, 0, 1.0)
        cluster.cut(0, connects, kept)
        await count_first_tries(cluster, 0, CONTACT_SECONDS)
        (sent, served), *others = await asyncio.gather(
            *(count_first_tries(cluster, n, MEASURE_SECONDS) for n in range(3))
        )
    served_by_others = sum(served for _, served in others)
    sent_to_others = sum(sent for sent, _ in others)
    assert served_by_others >= 0.9 * sent_to_others
    assert served / sent >= MIN_SERVED_RATIO * served_by_others / sent_to_others


async def named_addresses(cluster, region="r1"):
    ip = cluster.control_vms[0].ip
    url = f"http://{ip}:7102/v1/resolve?name=x&region={region}"
    async with cluster.session.get(url) as response:
        return set((await response.json()).get("addrs", []))


async def test_callers_are_sent_elsewhere_while_a_vm_is_cut_off(tmp_path):
    """Guards against a directory that goes on naming a VM that is cut off."""
    async with cuts.running_cluster(tmp_path) as cluster:
        addresses = [f"{vm.ip}:7104" for vm in cluster.entry_vms]

        async def names_all_but_the_first():
            await cluster.request()
            return await named_addresses(cluster) == {addresses[1]}

        async def names_both():
            return await named_addresses(cluster) == set(addresses[:2])

        await cluster.wait_until(names_both)
        cluster.cut(0, "refuse", "reset")
        await cluster.wait_until(names_all_but_the_first)
        ip = cluster.entry_vms[0].ip
        async with cluster.session.get(
            f"http://{ip}:7105/v1/ready"
        ) as response:
            assert response.status == 200
        cluster.heal(0)
        await cluster.wait_until(names_both)


async def test_calls_that_wait_when_the_way_is_lost_are_sent_through_a_helper(
    tmp_path,
):
    """Guards against calls that wait on silent connections: 504 for all.

    What must not be repeated may have run, and goes on waiting.
    """
    async with cuts.running_cluster(tmp_path) as cluster:
        await cluster.patch(2, timeout_s=6.0)
        await count_first_tries(cluster, 0, 1.0)
        for server in cluster.servers:
            server.delay_seconds = 0.5
        statuses = {}

        async def send(method, path, number):
            id = f"{method}-{number}"
            headers = {
                "X-Request-Id": id,
                "X-Deadline-Ms": "6000",
                "Cookie": f"X-Affinity-Key={number}",
            }
            statuses[id], _, _ = await cluster.request(
                path, method=method, headers=headers
            )

        calls = [send("GET", "/a/1", n) for n in range(4)]
        calls += [send("POST", "/b/1", n) for n in range(2)]
        tasks = [asyncio.create_task(call) for call in calls]
        await asyncio.sleep(0.2)
        cluster.cut(0, "hang", "hang")
        await asyncio.gather(*tasks)
        assert statuses == {
            **{f"GET-{n}": 200 for n in range(4)},
            **{f"POST-{n}": 504 for n in range(2)},
        }
        runs = cuts.runs_by_id(cluster)
        assert [runs[id] for id in sorted(statuses)] == [2, 2, 2, 2, 1, 1]


async def test_a_way_that_comes_and_goes_makes_the_directory_change_rarely(
    tmp_path,
):
    """Guards against a directory that names a VM in turns, each second.

    The way is there half of the time, for half a second.
    """
    async with cuts.running_cluster(tmp_path) as cluster:
        address = f"{cluster.entry_vms[0].ip}:7104"
        named = [True]

        async def watch_directory(until):
            while time.monotonic() < until:
                is_named = address in await named_addresses(cluster)
                if is_named != named[-1]:
                    named.append(is_named)
                await asyncio.sleep(0.03)

        async def cut_and_heal(count):
            for _ in range(count):
                cluster.cut(0, "refuse", "reset")
                await asyncio.sleep(0.5)
                cluster.heal(0)
                await asyncio.sleep(0.5)

        watching = watch_directory(time.monotonic() + 8.0)
        _, _, (sent, served) = await asyncio.gather(
            watching, cut_and_heal(8), count_first_tries(cluster, 0, 8.0)
        )
        assert served >= MIN_SERVED_RATIO * sent
        # Out and back once, and out again for the rest.
        assert len(named) - 1 <= 3

        async def names_it():
            return address in await named_addresses(cluster)

        await cluster.wait_until(names_it)
