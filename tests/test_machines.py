"""The programs on the users' machines: real processes on loopback."""

import asyncio
import signal

import machines
import pytest


@pytest.fixture
async def world(tmp_path):
    async with machines.running_cluster(tmp_path) as found:
        yield found


async def wait_until_served(world, **more):
    await world.wait_until(lambda: is_served(world, **more))


async def is_served(world, **more):
    return (await world.request(**more))[0] == 200


async def test_a_request_is_carried_whole_and_the_key_stays(world):
    server = await world.add_server("i-1")
    await wait_until_served(world)
    server.received_requests.clear()
    status, headers, body = await world.request(
        "/b/x?y=1", method="POST", data=b"hello", headers={"X-Tenant": "forged"}
    )
    assert (status, body) == (200, b"done hello")
    assert headers["X-Reply-Stamp"] == "i-1"
    [(method, target, seen)] = server.received_requests
    assert (method, target) == ("POST", "/b/x?y=1")
    assert seen["X-Tenant"] == "t1"
    assert seen["X-Expect-Instance"] == "i-1"
    assert seen["X-Request-Id"] == f"q{world.request_count}"
    assert 0 < int(seen["X-Deadline-Ms"]) <= 2000
    assert "k1" not in str(dict(seen))


async def test_what_no_settings_allow_is_refused(world):
    await world.add_server("i-1")
    await wait_until_served(world)
    assert (await world.request(key="nonsense"))[0] == 401
    assert (await world.request(key=""))[0] == 401
    assert (await world.request("/nowhere/"))[0] == 404
    await world.patch(2, keys=("k2",))
    await world.wait_until(lambda: is_served(world, key="k2"))
    assert (await world.request(key="k1"))[0] == 401


async def test_a_refusal_for_lack_of_servers_says_when_to_come_back(world):
    await world.wait_until(lambda: is_refused(world))
    status, headers, _ = await world.request()
    assert status == 503
    assert float(headers["Retry-After"]) > 0


async def is_refused(world):
    status, headers, _ = await world.request()
    return status == 503 and "Retry-After" in headers


async def test_patches_of_any_size_are_read_whole_and_read_back(world):
    patch = machines.initial_patch(3)
    routes = patch["upsert"]["hosts"][0]["paths"]
    for number in range(400):
        routes.append(
            {**routes[0], "name": f"r-{number}", "path_prefix": f"/x{number}/"}
        )
    assert (await world.rpc("config.patch", body=patch))[0] == 200
    assert (await world.rpc("config.patch", body=patch))[0] == 200
    for control in world.control_vms:
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
    await wait_until_served(world)
    for more in (
        {"status": {"state": "odd", "seq": 9}},
        {"info": {"service": "s1"}},
        {"addr": 7},
        {"status": {"state": "draining", "seq": "9"}},
    ):
        assert (await server.send_heartbeat(**more))[0] == 400
    assert (await world.rpc("instances.beat", "i-2", [1]))[0] == 400
    assert await is_served(world)


async def test_a_draining_server_gets_nothing_more(world):
    first = await world.add_server("i-1")
    await wait_until_served(world)
    second = await world.add_server("i-2")
    assert (await first.send_heartbeat("draining"))[0] == 200
    await world.wait_until(lambda: receives_all_requests(world, second))
    assert (await world.rpc("instances.leave", "i-2"))[0] == 200
    await world.wait_until(lambda: is_refused(world))


async def receives_all_requests(world, server):
    before = len(server.received_requests)
    for _ in range(5):
        await world.request()
    return len(server.received_requests) == before + 5


async def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back(world):
    await world.add_server("i-1", zone="z1")
    second = await world.add_server("i-2", zone="z3")
    assert (await world.rpc("evacuate.start", "z1"))[0] == 200
    await world.wait_until(lambda: receives_all_requests(world, second))
    assert (await world.rpc("evacuate.start", "z3"))[0] == 200
    await world.wait_until(lambda: is_refused(world))
    assert (await world.rpc("evacuate.end", "z3"))[0] == 200
    await world.wait_until(lambda: receives_all_requests(world, second))
    assert (await world.rpc("evacuate.start", "nowhere"))[0] == 400


async def test_a_request_that_must_not_repeat_runs_once(world):
    first = await world.add_server("i-1")
    second = await world.add_server("i-2")
    await wait_until_served(world)
    first.status = second.status = 500
    first.received_requests.clear()
    second.received_requests.clear()
    assert (await world.request("/b/1", method="POST"))[0] == 500
    assert len(first.received_requests) + len(second.received_requests) == 1
    assert (await world.request("/a/1"))[0] == 500
    assert len(first.received_requests) + len(second.received_requests) <= 3


async def test_a_replaced_address_runs_nothing_for_another(world):
    server = await world.add_server("i-1")
    await wait_until_served(world)
    server.id = "i-other"
    server.received_requests.clear()
    assert (await world.request())[0] == 503
    assert server.received_requests == []


async def test_the_directory_names_entry_vms_that_serve(world):
    [entry] = world.entry_vms
    url = f"http://{world.control_vms[0].ip}:7102/v1/resolve?name=x&region=r1"

    async def names_it():
        async with world.session.get(url) as response:
            body = await response.json()
            return body.get("addrs") == [f"{entry.ip}:7104"]

    async def is_empty():
        async with world.session.get(url) as response:
            return response.status == 503

    await world.wait_until(names_it)
    await entry.kill()
    await world.wait_until(is_empty)


async def test_a_planned_stop_finishes_what_was_read(world):
    server = await world.add_server("i-1")
    await wait_until_served(world)
    server.delay_seconds = 1.0
    running = asyncio.create_task(world.request())
    await world.wait_until(lambda: has_received(server, 2))
    world.entry_vms[0].process.send_signal(signal.SIGTERM)
    assert (await running)[0] == 200
    assert await world.entry_vms[0].process.wait() == 0


async def test_metrics_tell_answers_refusals_and_calls(world):
    await world.add_server("i-1")
    await wait_until_served(world)
    assert (await world.request(key="no-such-key"))[0] == 401

    async def metrics_of(machine):
        async with world.session.get(f"http://{machine.ip}:7106/") as response:
            return await response.text()

    entry = await metrics_of(world.entry_vms[0])
    assert 'outcome="200"}' in entry
    assert 'outcome="key-unknown"}' in entry
    assert "pollenseam_settings_age_seconds" in entry
    controls = [await metrics_of(control) for control in world.control_vms]
    assert any("pollenseam_is_leader 1" in text for text in controls)
    assert any('call="config.patch",outcome="200"' in text for text in controls)


async def has_received(server, count):
    return len(server.received_requests) >= count


async def test_a_wiped_control_vm_comes_back_and_then_another(tmp_path):
    async with machines.running_cluster(
        tmp_path, controls=4, entries=0
    ) as world:
        await world.wait_until(lambda: all_are_voters(world, 4))
        for number in (0, 1):
            machine = world.control_vms[number]
            await machine.kill()
            machine.delete_data()
            await machine.start()
            await world.wait_until(lambda: all_are_voters(world, 4))
            assert (await world.patch(number + 2))[0] == 200
            for control in world.control_vms:
                await world.wait_until(
                    lambda control=control, number=number: has_limits_version(
                        world, control, number + 2
                    )
                )


async def has_limits_version(world, control, version):
    status, answer = await world.rpc("config.get", control=control)
    return status == 200 and answer["limits"]["version"] == f"r{version}"


async def all_are_voters(world, count):
    """Tells whether the newest configuration has just the live replicas."""
    members = set()
    for control in world.control_vms:
        opened = [
            line.split("replica=")[1].split()[0]
            for line in control.read_log().splitlines()
            if "event=replica-opened" in line
        ]
        members.add(opened[-1])
    configurations = [
        line
        for control in world.control_vms
        for line in control.read_log().splitlines()
        if "event=quorum-members" in line
    ]
    if not configurations:
        return False
    newest = max(configurations, key=log_index)
    voters = newest.split("voters=")[1].split()[0].split(",")
    return set(voters) == members and len(voters) == count


def log_index(line):
    return int(line.split("index=")[1].split()[0])
