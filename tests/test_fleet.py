"""Daemons as processes on loopback: kills, pauses, restarts and disk faults."""

import asyncio
import json
import os
import resource
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

import pytest

from pollenseam import events
from pollenseam import keys
from pollenseam.standins import caller
from pollenseam.standins import fleet

REGIONS = {"r1": ["d1"], "r2": ["d2"], "r3": ["d3"]}
SETTINGS = """
[fleet]
lookup_max_age_ms = 500
freshness_ms = 3000
[fleet.regions.r1]
failure_domains = ["d1"]
client_blocks = ["127.0.0.0/8"]
[fleet.regions.r2]
failure_domains = ["d2"]
[fleet.regions.r3]
failure_domains = ["d3"]
[teams.t.services.svc]
[[teams.t.services.svc.routes]]
host = "svc.example"
[[teams.t.services.svc.routes]]
host = "svc.example"
prefix = "/open"
access = "open"
[teams.t.workspaces.w]
rate = 500
burst = 100
"""
TEAM = """
[services.svc]
[[services.svc.routes]]
host = "svc.example"
[workspaces.w]
rate = {rate}
burst = 100
"""


@pytest.fixture
def running(tmp_path):
    vms = fleet.make_vm_specs(REGIONS, vms_per_domain=1, replicas=3)
    vms.append(fleet.VmSpec("plain", "r1", "d1", is_replica=False))
    with fleet.Fleet(tmp_path, vms) as started:
        started.start_all()
        file = tmp_path / "settings.toml"
        file.write_text(SETTINGS)
        assert started.run_tool("apply", str(file), "--wait").returncode == 0
        yield started


def issue_key(running, path):
    return str(running.run_tool_json("key", "issue", path)["secret"])


def request_status(running, vm, key="", path="/x"):
    """Returns the status of one request; 0 if the connection failed."""
    url = f"http://{running.vms[vm].caller}{path}"
    headers = {"Host": "svc.example"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    request = urllib.request.Request(url, headers=headers)
    try:
        with urllib.request.urlopen(request, timeout=3) as response:
            return response.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def write_team_file(running, rate):
    file = running.folder / f"team-{rate}.toml"
    file.write_text(TEAM.format(rate=rate))
    return str(file)


def apply_rate(running, rate, *arguments):
    file = write_team_file(running, rate)
    return running.run_tool("apply", file, "--at", "/teams/t", *arguments)


def workspace_rate(running):
    answer = running.run_tool_json("get", "/teams/t/workspaces/w")
    return answer["nodes"]["/teams/t/workspaces/w"]["rate"]


def test_a_change_resent_after_the_leader_was_killed_runs_once(running):
    leader = running.leader()
    answers = {}

    def send(number):
        answers[number] = apply_rate(
            running, 100 + number, "--change-id", f"c{number}"
        )

    threads = [threading.Thread(target=send, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.4)
    running.daemons[leader].kill()
    for thread in threads:
        thread.join()
    fleet.wait_until(lambda: running.leader() not in ("", leader))
    succeeded = {n: a for n, a in answers.items() if a.returncode == 0}
    assert all(a.returncode in (0, 5) for a in answers.values())
    before = workspace_rate(running)
    for number, answer in succeeded.items():
        again = apply_rate(running, 100 + number, "--change-id", f"c{number}")
        assert (again.returncode, again.stdout) == (0, answer.stdout)
    assert workspace_rate(running) == before
    other = apply_rate(running, 999, "--change-id", "c0")
    assert other.returncode == (3 if 0 in succeeded else 0)


def test_a_resumed_vm_accepts_no_key_withdrawn_while_it_was_paused(running):
    key = issue_key(running, "/teams/t/workspaces/w")
    service_key = issue_key(running, "/teams/t/services/svc")
    running.start_upstream(
        "u1", "svc", running.vms["plain"], service_key, "--work-ms", "1"
    )
    fleet.wait_until(lambda: request_status(running, "plain", key) == 200)
    running.daemons["plain"].pause()
    completed = running.run_tool("key", "withdraw", key)
    assert completed.returncode == 0
    time.sleep(3.5)
    running.daemons["plain"].resume()
    # The VM must check the age of its settings before it serves again.
    seen = [request_status(running, "plain", key) for _ in range(30)]
    assert set(seen) <= {401, 503}, seen
    fleet.wait_until(lambda: request_status(running, "plain", key) == 401)
    fleet.wait_until(
        lambda: request_status(running, "plain", path="/open") == 200
    )


def test_a_paused_leader_is_replaced_and_follows_after_it_resumes(running):
    old = running.leader()
    running.daemons[old].pause()
    fleet.wait_until(lambda: running.leader() not in ("", old))
    assert apply_rate(running, 321).returncode == 0
    running.daemons[old].resume()
    assert workspace_rate(running) == 321
    fleet.wait_until(
        lambda: running.health(old).get("settings_index")
        == running.health("plain").get("settings_index")
    )
    assert followed_since(running, old)


def followed_since(running, vm):
    """Returns whether a VM followed a leader after it had led itself."""
    lines = (running.folder / f"{vm}.log").read_text().splitlines()
    roles = [
        fields["role"]
        for fields in map(events.parse_line, lines)
        if fields.get("event") == "replica-role" and fields.get("leader")
    ]
    return "follower" in roles[roles.index("leader") :]


def test_a_vm_that_missed_hundreds_of_changes_catches_up(running):
    leader = running.leader()
    behind = next(
        n for n, v in running.vms.items() if v.is_replica and n != leader
    )
    running.daemons[behind].kill()
    running.daemons["plain"].kill()
    url = f"http://{running.vms[leader].caller}"
    for number in range(300):
        body = {
            "path": "/teams/t/workspaces/w",
            "id": f"{number:012x}",
            "digest": keys.digest(str(number)),
            "change_id": f"k{number}",
        }
        request = urllib.request.Request(
            f"{url}/.pollenseam/control/keys/issue",
            data=json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {running.token}"},
        )
        with urllib.request.urlopen(request, timeout=5) as response:
            index = json.loads(response.read())["index"]
    for name in (behind, "plain"):
        running.start(name)
        running.wait_serving(name)
        fleet.wait_until(
            lambda n=name: running.health(n)["settings_index"] >= index
        )
        # A VM that has caught up must have fresh settings, because it accepts
        # keys only with such.
        assert running.health(name)["fresh"]


def test_a_replica_that_lost_its_disk_rejoins_as_a_new_replica(running):
    leader = running.leader()
    lost, other = [
        n for n, v in running.vms.items() if v.is_replica and n != leader
    ]
    running.daemons[lost].kill()
    for path in running.data_folder(lost).iterdir():
        path.unlink()
    assert apply_rate(running, 111).returncode == 0
    running.start(lost)
    running.wait_serving(lost)
    replicas = running.run_tool_json("replica", "list")
    old = [r["id"] for r in replicas if r["id"].startswith(lost + ".")]
    # The second one stands for a removal whose first answer was lost.
    for _ in range(2):
        assert running.run_tool("replica", "remove", old[0]).returncode == 0
    assert running.run_tool("replica", "remove", "no-vm").returncode == 2
    address = running.vms[lost].peer
    assert running.run_tool("replica", "add", lost, address).returncode == 0

    def voters():
        replicas = running.run_tool_json("replica", "list")
        return [r["id"] for r in replicas if r["role"] in ("voter", "leader")]

    fleet.wait_until(lambda: len(voters()) == 3)
    assert old[0] not in voters()
    # After the repair the quorum must survive the loss of another replica.
    running.daemons[other].kill()
    assert apply_rate(running, 222).returncode == 0
    assert workspace_rate(running) == 222


def test_a_full_disk_stops_the_replica_and_not_the_vm(running):
    victim = running.leader()
    size = max(
        path.stat().st_size for path in running.data_folder(victim).iterdir()
    )
    child = running.daemons[victim].child
    # Writes beyond the present size fail from now on, as on a full disk.
    resource.prlimit(child.pid, resource.RLIMIT_FSIZE, (size, size))
    completed = apply_rate(running, 77)
    assert completed.returncode == 0
    fleet.wait_until(lambda: running.leader() not in ("", victim))
    assert workspace_rate(running) == 77
    fleet.wait_until(lambda: running.health(victim).get("fresh") is True)
    index = running.health(running.leader())["settings_index"]
    fleet.wait_until(lambda: running.health(victim)["settings_index"] >= index)


def test_changes_go_on_after_the_disks_of_all_replicas_were_full_in_turn(
    running,
):
    """Guards against a replica that stays stopped once its disk has room.

    After the second disk there was no majority, until daemons were restarted.
    """
    replicas = [n for n, v in running.vms.items() if v.is_replica]

    def followers():
        records = running.run_tool_json("replica", "list")
        return {
            r["id"].rpartition(".")[0]: r["match"]
            for r in records
            if r["role"] == "voter"
        }

    for name in replicas:
        child = running.daemons[name].child
        files = running.data_folder(name).iterdir()
        size = max(path.stat().st_size for path in files)
        unlimited = resource.prlimit(
            child.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY)
        )
        fleet.wait_until(lambda: apply_rate(running, 100).returncode == 0)
        fleet.wait_until(lambda n=name: running.leader() not in ("", n))
        assert followers()[name] < max(followers().values())
        resource.prlimit(child.pid, resource.RLIMIT_FSIZE, unlimited)
    fleet.wait_until(lambda: apply_rate(running, 200).returncode == 0)
    fleet.wait_until(lambda: len(set(followers().values())) == 1)
    assert workspace_rate(running) == 200


def test_a_daemon_exits_at_start_if_its_data_folder_is_unusable(tmp_path):
    vms = fleet.make_vm_specs({"r1": ["d1"]}, vms_per_domain=1, replicas=1)
    with fleet.Fleet(tmp_path, vms) as started:
        started.data_folder(vms[0].name).write_text("not a folder")
        child = started.start(vms[0].name).child
        assert child.wait(20) == 1
        text = started.daemons[vms[0].name].log.read_text()
        assert "data folder" in text
        assert "Traceback" not in text


def test_a_rolling_restart_of_all_vms_under_load_fails_no_request(running):
    key = issue_key(running, "/teams/t/workspaces/w")
    service_key = issue_key(running, "/teams/t/services/svc")
    for name, vm in running.vms.items():
        running.start_upstream(
            f"u-{name}", "svc", vm, service_key, "--work-ms", "5"
        )
        fleet.wait_until(lambda n=name: request_status(running, n, key) == 200)
    seeds = [v.caller for v in running.vms.values()]
    chooser = caller.EntryChooser(seeds, "svc", 1)
    plan = caller.LoadPlan("svc.example", "/x", key, 30, 20)
    tallies = []
    thread = threading.Thread(
        target=lambda: tallies.append(
            asyncio.run(caller.run_plan(plan, chooser, 1))
        )
    )
    thread.start()
    for name in running.vms:
        assert running.daemons[name].stop() == 0
        running.start(name)
        running.wait_serving(name)
        fleet.wait_until(lambda n=name: request_status(running, n, key) == 200)
    thread.join()
    assert tallies[0].answers["200"] == tallies[0].total, tallies[0].answers


def test_an_invalid_command_line_exits_with_2_and_no_traceback(tmp_path):
    cases = [
        ([], 2),
        (["--vm", "Not A Name"], 2),
        (["--caller-address", "0.0.0.0:8080"], 2),
        (["--peer-address", "localhost"], 2),
        (["--initial-replicas", "v=127.0.0.1:1"], 2),
        (["--tls-key", "/nowhere"], 2),
        (["--nonsense", "1"], 2),
    ]
    environment = {
        "POLLENSEAM_VM": "v",
        "POLLENSEAM_REGION": "r",
        "POLLENSEAM_FAILURE_DOMAIN": "d",
        "POLLENSEAM_CALLER_ADDRESS": f"127.0.0.1:{fleet.free_port()}",
    }
    for arguments, code in cases:
        completed = subprocess.run(
            [sys.executable, "-m", "pollenseam.daemon", *arguments],
            capture_output=True,
            text=True,
            env={**os.environ, **environment},
            timeout=20,
        )
        assert completed.returncode == code, completed.stderr
        assert "Traceback" not in completed.stderr
