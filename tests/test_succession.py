"""Check-ins and notices of stops that must not end a sound upstream."""

import asyncio
import json

import controls
import machines
import pytest
import test_items
import test_registry

from pollenseam import commands
from pollenseam import errors
from pollenseam import registry
from pollenseam import waitingrecords

ADDRESS = "127.0.0.1:9"


def check_in(**changes):
    values = {"born": 5, "seq": 1, "service": "s1", "state": "ready"}
    values |= {"addr": ADDRESS} | changes
    return json.dumps(
        {
            "addr": values["addr"],
            "born": values["born"],
            "info": {
                "service": values["service"],
                "version": "v1",
                "zone": "z1",
                "slots": 3,
            },
            "status": {
                "state": values["state"],
                "seq": values["seq"],
                "cold_left_s": 0,
            },
        }
    )


async def patch(control, version=1, **overrides):
    body = json.dumps(machines.initial_patch(version, **overrides))
    return (await control.call("config.patch", "", body))[0]


async def beat(control, id="i-1", **changes):
    return (await control.call("instances.beat", id, check_in(**changes)))[0]


def state_of(control, id="i-1"):
    record = control.vm.applied_registry.upstreams.get(id)
    return record and (record.started_ms, record.service, record.state)


async def be_silent(control, id="i-1"):
    """Makes an upstream silent for as long as another may not follow it."""
    liveness = control.vm.liveness
    async with asyncio.timeout(10.0):
        while control.vm.upstream_records.unreported_ids:
            await asyncio.sleep(0.01)
    liveness.upstream_deadlines[id] -= liveness.upstream_timeout / 2 + 0.01


SOUND = (5, "s1", registry.SERVING)


@pytest.mark.parametrize(
    ("id", "changes"),
    [
        ("agent", {"service": "agent", "born": 9}),
        ("agent", {"service": "agent", "born": 9, "state": "draining"}),
        ("agent", {"born": 9}),
        ("i-1", {"service": "agent", "seq": 9}),
        ("i-1", {"service": "agent", "seq": 9, "state": "draining"}),
        ("i-1", {"service": "agent", "born": 9}),
        ("i-1", {"addr": "127.0.0.1:10", "seq": 9}),
        ("i-1", {"service": "agent", "seq": 0}),
        ("i-1", {"born": 4}),
    ],
)
async def test_a_check_in_that_proves_nothing_ends_no_sound_upstream(
    tmp_path, id, changes
):
    """Guards against a server that is lost by one message of another writer.

    The message is answered as not used, and the server's own ones go on.
    """
    async with controls.running(tmp_path) as control:
        assert await patch(control) == 200
        assert await beat(control) == 200
        assert await beat(control, id, **changes) in (404, 409)
        assert state_of(control) == SOUND
        assert "agent" not in control.vm.applied_registry.upstreams
        assert await beat(control, seq=2) == 200
        assert await beat(control, seq=3, state="draining") == 200
        assert state_of(control) == (5, "s1", registry.LEAVING)


async def test_a_later_upstream_takes_the_address_of_a_silent_one(tmp_path):
    async with controls.running(tmp_path) as control:
        assert await patch(control, services=("s1", "s2")) == 200
        assert await beat(control) == 200
        later = {"service": "s2", "born": 9}
        assert await beat(control, "i-2", **later) == 409
        await be_silent(control)
        assert await beat(control, "i-2", seq=2, **later) == 200
        assert state_of(control) == (5, "s1", registry.STOPPED)
        assert state_of(control, "i-2") == (9, "s2", registry.SERVING)
        # A check-in that was delayed by a partition.
        assert await beat(control, seq=7) == 409
        assert state_of(control) == (5, "s1", registry.STOPPED)


async def test_an_upstream_that_starts_again_under_its_id_is_used(tmp_path):
    async with controls.running(tmp_path) as control:
        assert await patch(control) == 200
        assert await beat(control, seq=40) == 200
        again = {"born": 9, "addr": "127.0.0.1:10"}
        assert await beat(control, seq=0, **again) == 200
        assert state_of(control) == (9, "s1", registry.SERVING)


async def test_a_check_in_is_used_once_its_service_is_known(tmp_path):
    """Guards against services that wait for the next check-ins.

    The server's check-in is used, though only the service comes after it.
    """
    async with controls.running(tmp_path) as control:
        assert await beat(control, seq=1) == 404
        assert await beat(control, seq=2) == 404
        assert state_of(control) is None
        assert await patch(control) == 200
        async with asyncio.timeout(10.0):
            while state_of(control) != SOUND:
                await asyncio.sleep(0.01)
        assert await beat(control, seq=3, state="draining") == 200
        assert state_of(control) == (5, "s1", registry.LEAVING)


def test_only_the_latest_announcements_wait_for_their_service():
    waiting = waitingrecords.WaitingRecords(3.0)
    current = registry.Registry()
    waiting.add(test_registry.upstream("i1", sequence=4), 0.0)
    waiting.add(test_registry.upstream("i1", sequence=3, slots=9), 1.0)
    waiting.add(test_registry.upstream("i2"), 2.0)
    assert waiting.take_ready(current, 2.5) == []
    assert waiting.take_ready(current, 3.0) == []
    current.patch(1, [test_items.service()])
    [record] = waiting.take_ready(current, 3.0)
    assert record.id == "i2"
    assert waiting.take_ready(current, 3.0) == []
    waiting.add(test_registry.upstream("i1", sequence=4), 4.0)
    waiting.add(test_registry.upstream("i1", sequence=3), 5.0)
    [record] = waiting.take_ready(current, 6.0)
    assert record.sequence == 4


async def test_an_upstream_of_a_dropped_service_can_still_say_it_leaves(
    tmp_path,
):
    async with controls.running(tmp_path) as control:
        assert await patch(control, services=("s1", "s2")) == 200
        assert await beat(control, service="s2") == 200
        dropped = {"services": [{"name": "s2", "version": "r2"}]}
        body = json.dumps({"delete": dropped})
        assert (await control.call("config.patch", "", body))[0] == 200
        leaving = {"service": "s2", "seq": 2, "state": "draining"}
        assert await beat(control, **leaving) == 200
        assert state_of(control) == (5, "s2", registry.LEAVING)


async def test_a_stop_of_an_unknown_start_ends_no_sound_upstream(tmp_path):
    """Guards against a notice that makes an id unusable for good."""
    async with controls.running(tmp_path) as control:
        assert await patch(control) == 200
        assert await beat(control) == 200
        leave = ("instances.leave", "i-1", '{"born":4000000000000}')
        assert (await control.call(*leave))[0] == 409
        assert state_of(control) == SOUND
        await be_silent(control)
        assert (await control.call(*leave))[0] == 200
        assert state_of(control) == (
            4_000_000_000_000,
            "s1",
            registry.STOPPED,
        )


@pytest.mark.parametrize("call", ["instances.beat", "evacuate.start"])
async def test_what_the_leader_refuses_is_not_acknowledged(
    tmp_path, monkeypatch, call
):
    """Guards against an acknowledgement of what a leader's build refuses."""
    outcome = commands.Outcome(errors.Kind.MALFORMED, "not in this build")

    async def submit(command, deadline):
        return outcome

    async with controls.running(tmp_path) as control:
        assert await patch(control) == 200
        monkeypatch.setattr(control.vm.proposer, "submit", submit)
        subject = {"instances.beat": "i-1", "evacuate.start": "z1"}[call]
        status, answer = await control.call(call, subject, check_in())
        assert status == 400
        assert b"not in this build" in answer
