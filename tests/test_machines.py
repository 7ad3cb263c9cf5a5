"""The programs on the users' machines: real processes on loopback."""

import asyncio
import signal

import machines
import pytest


@pytest.fixture
async def world(tmp_path):
    async with machines.running(tmp_path) as found:
        yield found


async def served(world, **more):
    await world.until(lambda: is_served(world, **more))


async def is_served(world, **more):
    return (await world.request(**more))[0] == 200


async def test_a_request_is_carried_whole_and_the_key_stays(world):
    server = await world.add_server("i-1")
    await served(world)
    server.seen.clear()
    status, headers, body = await world.request(
        "/b/x?y=1", method="POST", data=b"hello", headers={"X-Tenant": "forged"}
    )
    assert (status, body) == (200, b"done hello")
    assert headers["X-Reply-Stamp"] == "i-1"
    [(method, target, seen)] = server.seen
    assert (method, target) == ("POST", "/b/x?y=1")
    assert seen["X-Tenant"] == "t1"
    assert seen["X-Expect-Instance"] == "i-1"
    assert seen["X-Request-Id"] == f"q{world.count}"
    assert 0 < int(seen["X-Deadline-Ms"]) <= 2000
    assert "k1" not in str(dict(seen))


async def test_what_no_settings_allow_is_refused(world):
    await world.add_server("i-1")
    await served(world)
    assert (await world.request(key="nonsense"))[0] == 401
    assert (await world.request(key=""))[0] == 401
    assert (await world.request("/nowhere/"))[0] == 404
    await world.patch(2, keys=("k2",))
    await world.until(lambda: is_served(world, key="k2"))
    assert (await world.request(key="k1"))[0] == 401


async def test_a_refusal_for_lack_of_servers_says_when_to_come_back(world):
    await world.until(lambda: is_refused(world))
    status, headers, _ = await world.request()
    assert status == 503
    assert float(headers["Retry-After"]) > 0


async def is_refused(world):
    status, headers, _ = await world.request()
    return status == 503 and "Retry-After" in headers


async def test_patches_of_any_size_are_read_whole_and_read_back(world):
    patch = machines.first_items(3)
    routes = patch["upsert"]["hosts"][0]["paths"]
    for number in range(400):
        routes.append(
            {**routes[0], "name": f"r-{number}", "path_prefix": f"/x{number}/"}
        )
    assert (await world.rpc("config.patch", body=patch))[0] == 200
    assert (await world.rpc("config.patch", body=patch))[0] == 200
    for control in world.controls:
        status, answer = await world.rpc("config.get", control=control)
        assert status == 200
        assert answer["hosts"] == patch["upsert"]["hosts"]
        assert answer["tenants"] == patch["upsert"]["tenants"]
        assert answer["limits"] == patch["upsert"]["limits"]


@pytest.mark.parametrize(
    "change",
    [
        {"service": "nowhere"},
        {"timeout_s": 601},
        {"timeout_s": "soon"},
        {"service": None, "traffic_split": [{"service": "s1", "weight": -1}]},
        {"home_regions": "r1"},
    ],
    ids=str,
)
async def test_an_invalid_patch_is_refused_whole(world, change):
    before = await world.rpc("config.get")
    status, answer = await world.patch(5, keys=("k9",), **change)
    assert status == 400
    assert answer["error"]
    assert await world.rpc("config.get") == before


async def test_unreadable_announcements_harm_nobody(world):
    server = await world.add_server("i-1")
    await served(world)
    for more in (
        {"status": {"state": "odd", "seq": 9}},
        {"info": {"service": "s1"}},
        {"addr": 7},
        {"status": {"state": "draining", "seq": "9"}},
    ):
        assert (await server.beat(**more))[0] == 400
    assert (await world.rpc("instances.beat", "i-2", [1]))[0] == 400
    assert await is_served(world)


async def test_a_draining_server_gets_nothing_more(world):
    first = await world.add_server("i-1")
    await served(world)
    second = await world.add_server("i-2")
    assert (await first.beat("draining"))[0] == 200
    await world.until(lambda: only(world, second))
    assert (await world.rpc("instances.leave", "i-2"))[0] == 200
    await world.until(lambda: is_refused(world))


async def only(world, server):
    before = len(server.seen)
    for _ in range(5):
        await world.request()
    return len(server.seen) == before + 5


async def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back(world):
    await world.add_server("i-1", zone="z1")
    second = await world.add_server("i-2", zone="z3")
    assert (await world.rpc("evacuate.start", "z1"))[0] == 200
    await world.until(lambda: only(world, second))
    assert (await world.rpc("evacuate.start", "z3"))[0] == 200
    await world.until(lambda: is_refused(world))
    assert (await world.rpc("evacuate.end", "z3"))[0] == 200
    await world.until(lambda: only(world, second))
    assert (await world.rpc("evacuate.start", "nowhere"))[0] == 400


async def test_a_request_that_must_not_repeat_runs_once(world):
    first = await world.add_server("i-1")
    second = await world.add_server("i-2")
    await served(world)
    first.status = second.status = 500
    first.seen.clear()
    second.seen.clear()
    assert (await world.request("/b/1", method="POST"))[0] == 500
    assert len(first.seen) + len(second.seen) == 1
    assert (await world.request("/a/1"))[0] == 500
    assert len(first.seen) + len(second.seen) <= 3


async def test_a_replaced_address_runs_nothing_for_another(world):
    server = await world.add_server("i-1")
    await served(world)
    server.id = "i-other"
    server.seen.clear()
    assert (await world.request())[0] == 503
    assert server.seen == []


async def test_the_directory_names_entry_vms_that_serve(world):
    [entry] = world.entries
    url = f"http://{world.controls[0].ip}:7102/v1/resolve?name=x&region=r1"

    async def names_it():
        async with world.session.get(url) as response:
            body = await response.json()
            return body.get("addrs") == [f"{entry.ip}:7104"]

    async def is_empty():
        async with world.session.get(url) as response:
            return response.status == 503

    await world.until(names_it)
    await entry.end()
    await world.until(is_empty)


async def test_a_planned_stop_finishes_what_was_read(world):
    server = await world.add_server("i-1")
    await served(world)
    server.delay = 1.0
    running = asyncio.create_task(world.request())
    await world.until(lambda: has_seen(server, 2))
    world.entries[0].process.send_signal(signal.SIGTERM)
    assert (await running)[0] == 200
    assert await world.entries[0].process.wait() == 0


async def test_metrics_tell_answers_refusals_and_calls(world):
    await world.add_server("i-1")
    await served(world)
    assert (await world.request(key="no-such-key"))[0] == 401

    async def metrics_of(machine):
        async with world.session.get(f"http://{machine.ip}:7106/") as response:
            return await response.text()

    entry = await metrics_of(world.entries[0])
    assert 'outcome="200"}' in entry
    assert 'outcome="key-unknown"}' in entry
    assert "pollenseam_settings_age_seconds" in entry
    controls = [await metrics_of(control) for control in world.controls]
    assert any("pollenseam_is_leader 1" in text for text in controls)
    assert any('call="config.patch",outcome="200"' in text for text in controls)


async def has_seen(server, count):
    return len(server.seen) >= count


async def test_a_wiped_control_vm_comes_back_and_then_another(tmp_path):
    async with machines.running(tmp_path, controls=4, entries=0) as world:
        await world.until(lambda: all_vote(world, 4))
        for number in (0, 1):
            machine = world.controls[number]
            await machine.end()
            machine.wipe()
            await machine.start()
            await world.until(lambda: all_vote(world, 4))
            assert (await world.patch(number + 2))[0] == 200
            for control in world.controls:
                await world.until(
                    lambda control=control, number=number: holds(
                        world, control, number + 2
                    )
                )


async def holds(world, control, version):
    status, answer = await world.rpc("config.get", control=control)
    return status == 200 and answer["limits"]["version"] == f"r{version}"


async def all_vote(world, count):
    """Tells whether the newest configuration has just the live replicas."""
    members = set()
    for control in world.controls:
        opened = [
            line.split("replica=")[1].split()[0]
            for line in control.log().splitlines()
            if "event=replica-opened" in line
        ]
        members.add(opened[-1])
    configurations = [
        line
        for control in world.controls
        for line in control.log().splitlines()
        if "event=quorum-members" in line
    ]
    if not configurations:
        return False
    newest = max(configurations, key=index_of)
    voters = newest.split("voters=")[1].split()[0].split(",")
    return set(voters) == members and len(voters) == count


def index_of(line):
    return int(line.split("index=")[1].split()[0])
