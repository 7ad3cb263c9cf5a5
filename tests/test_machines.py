"""Tests of platform/program.py, run as processes on loopback addresses."""

import asyncio
import signal

import machines
import pytest


@pytest.fixture
async def cluster(tmp_path):
    async with machines.running_cluster(tmp_path) as running:
        yield running


async def wait_until_served(cluster, **options):
    await cluster.wait_until(lambda: is_served(cluster, **options))


async def is_served(cluster, **options):
    return (await cluster.request(**options))[0] == 200


async def test_a_request_is_forwarded_in_full_but_without_its_key(cluster):
    server = await cluster.add_server("i-1")
    await wait_until_served(cluster)
    server.received_requests.clear()
    status, headers, body = await cluster.request(
        "/b/x?y=1", method="POST", data=b"hello", headers={"X-Tenant": "forged"}
    )
    assert (status, body) == (200, b"done hello")
    assert headers["X-Reply-Stamp"] == "i-1"
    [(method, target, received_headers)] = server.received_requests
    assert (method, target) == ("POST", "/b/x?y=1")
    assert received_headers["X-Tenant"] == "t1"
    assert received_headers["X-Expect-Instance"] == "i-1"
    assert received_headers["X-Request-Id"] == f"q{cluster.request_count}"
    assert 0 < int(received_headers["X-Deadline-Ms"]) <= 2000
    assert "k1" not in str(dict(received_headers))


async def test_unknown_keys_and_paths_are_refused(cluster):
    await cluster.add_server("i-1")
    await wait_until_served(cluster)
    assert (await cluster.request(key="nonsense"))[0] == 401
    assert (await cluster.request(key=""))[0] == 401
    assert (await cluster.request("/nowhere/"))[0] == 404
    await cluster.patch(2, keys=("k2",))
    await cluster.wait_until(lambda: is_served(cluster, key="k2"))
    assert (await cluster.request(key="k1"))[0] == 401


async def test_a_refusal_without_upstreams_has_retry_after(cluster):
    await cluster.wait_until(lambda: is_refused(cluster))
    status, headers, _ = await cluster.request()
    assert status == 503
    assert float(headers["Retry-After"]) > 0


async def is_refused(cluster):
    status, headers, _ = await cluster.request()
    return status == 503 and "Retry-After" in headers


async def test_a_large_patch_is_stored_and_returned_in_full(cluster):
    patch = machines.initial_patch(3)
    routes = patch["upsert"]["hosts"][0]["paths"]
    for number in range(400):
        routes.append(
            {**routes[0], "name": f"r-{number}", "path_prefix": f"/x{number}/"}
        )
    assert (await cluster.rpc("config.patch", body=patch))[0] == 200
    assert (await cluster.rpc("config.patch", body=patch))[0] == 200
    for control_vm in cluster.control_vms:
        status, answer = await cluster.rpc("config.get", control_vm=control_vm)
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
async def test_an_invalid_patch_is_refused_whole(cluster, change):
    before = await cluster.rpc("config.get")
    status, answer = await cluster.patch(5, keys=("k9",), **change)
    assert status == 400
    assert answer["error"]
    assert await cluster.rpc("config.get") == before


async def test_invalid_heartbeats_are_refused_and_have_no_effect(cluster):
    server = await cluster.add_server("i-1")
    await wait_until_served(cluster)
    for overrides in (
        {"status": {"state": "odd", "seq": 9}},
        {"info": {"service": "s1"}},
        {"addr": 7},
        {"status": {"state": "draining", "seq": "9"}},
    ):
        assert (await server.send_heartbeat(**overrides))[0] == 400
    assert (await cluster.rpc("instances.beat", "i-2", [1]))[0] == 400
    assert await is_served(cluster)


async def test_a_draining_upstream_gets_no_more_requests(cluster):
    first = await cluster.add_server("i-1")
    await wait_until_served(cluster)
    second = await cluster.add_server("i-2")
    assert (await first.send_heartbeat("draining"))[0] == 200
    await cluster.wait_until(lambda: receives_all_requests(cluster, second))
    assert (await cluster.rpc("instances.leave", "i-2"))[0] == 200
    await cluster.wait_until(lambda: is_refused(cluster))


async def receives_all_requests(cluster, server):
    before = len(server.received_requests)
    for _ in range(5):
        await cluster.request()
    return len(server.received_requests) == before + 5


async def test_an_evacuated_zone_gets_no_requests_until_the_evacuation_ends(
    cluster,
):
    await cluster.add_server("i-1", zone="z1")
    second = await cluster.add_server("i-2", zone="z3")
    assert (await cluster.rpc("evacuate.start", "z1"))[0] == 200
    await cluster.wait_until(lambda: receives_all_requests(cluster, second))
    assert (await cluster.rpc("evacuate.start", "z3"))[0] == 200
    await cluster.wait_until(lambda: is_refused(cluster))
    assert (await cluster.rpc("evacuate.end", "z3"))[0] == 200
    await cluster.wait_until(lambda: receives_all_requests(cluster, second))
    assert (await cluster.rpc("evacuate.start", "nowhere"))[0] == 400


async def test_an_unsafe_request_is_not_retried(cluster):
    first = await cluster.add_server("i-1")
    second = await cluster.add_server("i-2")
    await wait_until_served(cluster)
    first.status = second.status = 500
    first.received_requests.clear()
    second.received_requests.clear()
    assert (await cluster.request("/b/1", method="POST"))[0] == 500
    assert len(first.received_requests) + len(second.received_requests) == 1
    assert (await cluster.request("/a/1"))[0] == 500
    assert len(first.received_requests) + len(second.received_requests) <= 3


async def test_a_request_is_not_run_by_another_instance_at_the_address(cluster):
    server = await cluster.add_server("i-1")
    await wait_until_served(cluster)
    server.id = "i-other"
    server.received_requests.clear()
    assert (await cluster.request())[0] == 503
    assert server.received_requests == []


async def test_the_directory_names_entry_vms_that_serve(cluster):
    [entry] = cluster.entry_vms
    url = f"http://{cluster.control_vms[0].ip}:7102/v1/resolve?name=x&region=r1"

    async def is_listed():
        async with cluster.session.get(url) as response:
            body = await response.json()
            return body.get("addrs") == [f"{entry.ip}:7104"]

    async def is_empty():
        async with cluster.session.get(url) as response:
            return response.status == 503

    await cluster.wait_until(is_listed)
    await entry.kill()
    await cluster.wait_until(is_empty)


async def test_a_planned_stop_completes_requests_in_flight(cluster):
    server = await cluster.add_server("i-1")
    await wait_until_served(cluster)
    server.delay_seconds = 1.0
    running = asyncio.create_task(cluster.request())
    await cluster.wait_until(lambda: has_received(server, 2))
    cluster.entry_vms[0].process.send_signal(signal.SIGTERM)
    assert (await running)[0] == 200
    assert await cluster.entry_vms[0].process.wait() == 0


async def test_a_planned_stop_closes_idle_connections_before_it_ends(cluster):
    """Guards against a request that a stopping VM reads and cannot complete.

    It came on an idle connection late in the grace period, while another
    request was still in flight, and was cut off at the end.
    """
    await cluster.patch(2, timeout_s=5.0)
    server = await cluster.add_server("i-1")
    await wait_until_served(cluster)
    connection = await machines.RawConnection.open(cluster)
    assert b"200 OK" in await connection.exchange()
    server.delay_seconds = 4.0
    count = len(server.received_requests)
    running = asyncio.create_task(
        cluster.request(headers={"X-Deadline-Ms": "5000"})
    )
    await cluster.wait_until(lambda: has_received(server, count + 1))
    cluster.entry_vms[0].process.send_signal(signal.SIGTERM)
    assert await connection.reader.read() == b""
    assert not running.done()
    assert (await running)[0] == 200
    assert await cluster.entry_vms[0].process.wait() == 0
    connection.writer.close()


@pytest.mark.parametrize("grace_seconds", [2, 6])
async def test_a_request_that_a_stopping_vm_passes_on_is_answered(
    cluster, grace_seconds
):
    """Guards against requests that are taken late in the grace and then cut.

    They come on new connections until the VM is gone. With a short grace there
    is less time left than they may take.
    """
    cluster.grace_seconds = grace_seconds
    entry = cluster.entry_vms[0]
    await entry.kill()
    await entry.start()
    server = await cluster.add_server("i-1")
    async with cluster.sending_heartbeats():
        await wait_until_served(cluster)
        server.delay_seconds = 0.6
        count = len(server.received_requests)
        requests = []
        entry.process.send_signal(signal.SIGTERM)
        while entry.process.returncode is None:
            request = cluster.request("/b/x", method="POST", data=b"x")
            requests.append(asyncio.create_task(request))
            await asyncio.sleep(0.05)
        outcomes = await asyncio.gather(*requests, return_exceptions=True)
    statuses = [o[0] for o in outcomes if isinstance(o, tuple)]
    passed_on = len(server.received_requests) - count
    assert statuses.count(200) == passed_on
    assert set(statuses) <= {200, 503}
    assert entry.process.returncode == 0


async def test_metrics_count_answers_refusals_and_calls(cluster):
    await cluster.add_server("i-1")
    await wait_until_served(cluster)
    assert (await cluster.request(key="no-such-key"))[0] == 401

    async def metrics_of(machine):
        async with cluster.session.get(
            f"http://{machine.ip}:7106/"
        ) as response:
            return await response.text()

    entry = await metrics_of(cluster.entry_vms[0])
    assert 'outcome="200"}' in entry
    assert 'outcome="key-unknown"}' in entry
    assert "pollenseam_settings_age_seconds" in entry
    control_metrics = [
        await metrics_of(control_vm) for control_vm in cluster.control_vms
    ]
    assert any("pollenseam_is_leader 1" in text for text in control_metrics)
    assert any(
        'call="config.patch",outcome="200"' in text for text in control_metrics
    )


async def has_received(server, count):
    return len(server.received_requests) >= count


async def test_a_replica_of_an_earlier_process_does_not_count_as_opened(
    tmp_path,
):
    """Guards against tests that go on before a wiped VM is back."""
    cluster = machines.Cluster(tmp_path)
    await cluster.session.close()
    machine = machines.Machine(cluster, "m", "control", 1, "z1")
    log = machine.folder / "log"
    log.write_text("event=replica-opened replica=m.1 term=1\n")
    assert machine.replica_id() == "m.1"
    machine.log_start = log.stat().st_size
    assert machine.replica_id() == ""
    with log.open("a") as file:
        file.write("event=replica-opened replica=m.2 term=0\n")
    assert machine.replica_id() == "m.2"


async def test_a_wiped_control_vm_comes_back_and_then_another(tmp_path):
    async with machines.running_cluster(
        tmp_path, control_count=4, entry_count=0
    ) as cluster:
        await cluster.wait_until(lambda: all_are_voters(cluster, 4))
        for number in (0, 1):
            machine = cluster.control_vms[number]
            await machine.kill()
            machine.delete_data()
            await machine.start()
            await cluster.wait_until(lambda: all_are_voters(cluster, 4))
            assert (await cluster.patch(number + 2))[0] == 200
            for vm in cluster.control_vms:
                await cluster.wait_until(
                    lambda vm=vm, number=number: has_limits_version(
                        cluster, vm, number + 2
                    )
                )


async def has_limits_version(cluster, control_vm, version):
    status, answer = await cluster.rpc("config.get", control_vm=control_vm)
    return status == 200 and answer["limits"]["version"] == f"r{version}"


async def all_are_voters(cluster, count):
    """Returns whether the quorum's voters are exactly the running replicas.

    The newest configuration, and the replica that each control VM opened since
    its last start, are read from the logs. `count` is the expected number of
    voters.
    """
    members = {vm.replica_id() for vm in cluster.control_vms}
    configurations = [
        line
        for control_vm in cluster.control_vms
        for line in control_vm.read_log().splitlines()
        if "event=quorum-members" in line
    ]
    if not configurations:
        return False
    newest = max(configurations, key=log_index)
    voters = newest.split("voters=")[1].split()[0].split(",")
    return set(voters) == members and len(voters) == count


def log_index(line):
    return int(line.split("index=")[1].split()[0])
