"""Tests of the registry: order of announcements, deltas, retention."""

import msgspec
import test_items

from pollenseam import registry
from pollenseam import registrysync


def upstream(id="i1", started_ms=1, sequence=1, state=registry.SERVING, **more):
    values = {"address": "10.0.0.1:80", "cold_ms": 0} | more
    return registry.Upstream(
        id,
        started_ms,
        sequence,
        "s1",
        values["address"],
        "d1",
        3,
        state,
        values["cold_ms"],
    )


def state_of(current, id="i1"):
    return current.upstreams[id].state


def test_a_delayed_announcement_does_not_undo_a_later_one():
    current = registry.Registry()
    current.record_upstreams(1, 0, [upstream(sequence=4)])
    current.record_upstreams(
        2, 0, [upstream(sequence=9, state=registry.LEAVING)]
    )
    current.record_upstreams(3, 0, [upstream(sequence=8)])
    current.record_upstreams(4, 0, [upstream(sequence=12)])
    assert state_of(current) == registry.LEAVING


def test_a_stop_is_recorded_although_a_heartbeat_took_its_sequence():
    """Guards against a notice of a stop that is acknowledged and dropped.

    A cold upstream's heartbeats are recorded, and its notice has no sequence.
    """
    current = registry.Registry()
    current.record_upstreams(1, 0, [upstream(sequence=4)])
    stop = registry.stop_record("i1", 1, current.upstreams["i1"])
    current.record_upstreams(2, 0, [upstream(sequence=5, cold_ms=900)])
    current.record_upstreams(3, 0, [upstream(sequence=6, cold_ms=400)])
    current.record_upstreams(4, 0, [stop])
    assert state_of(current) == registry.STOPPED
    current.record_upstreams(5, 0, [upstream(sequence=7)])
    assert state_of(current) == registry.STOPPED


def test_a_stop_holds_against_announcements_that_arrive_after_it():
    """Guards against an upstream that serves again after its stop.

    The notice came before any announcement of that start was recorded.
    """
    current = registry.Registry()
    current.record_upstreams(1, 0, [upstream(started_ms=1)])
    stop = registry.stop_record("i1", 2, current.upstreams["i1"])
    current.record_upstreams(2, 0, [stop])
    current.record_upstreams(3, 0, [upstream(started_ms=2, sequence=9)])
    assert state_of(current) == registry.STOPPED
    current.record_upstreams(4, 0, [registry.stop_record("i2", 2, None)])
    other = upstream("i2", started_ms=2, address="10.0.0.2:80")
    current.record_upstreams(5, 0, [other])
    assert state_of(current, "i2") == registry.STOPPED
    assert registry.stop_record("i3", 0, None) is None


def test_a_stop_of_an_earlier_start_does_not_stop_a_later_one():
    current = registry.Registry()
    current.record_upstreams(1, 0, [upstream(started_ms=1)])
    stop = registry.stop_record("i1", 1, current.upstreams["i1"])
    current.record_upstreams(2, 0, [upstream(started_ms=2)])
    current.record_upstreams(3, 0, [stop])
    assert state_of(current) == registry.SERVING


def test_a_restart_under_the_same_id_begins_a_new_sequence():
    current = registry.Registry()
    current.record_upstreams(
        1, 0, [upstream(sequence=40, state=registry.STOPPED)]
    )
    current.record_upstreams(2, 0, [upstream(started_ms=2, sequence=1)])
    assert state_of(current) == registry.SERVING
    current.record_upstreams(3, 0, [upstream(sequence=41)])
    assert current.upstreams["i1"].started_ms == 2


def test_a_later_instance_replaces_others_at_its_address_permanently():
    current = registry.Registry()
    current.record_upstreams(1, 0, [upstream("i1", started_ms=1)])
    current.record_upstreams(2, 0, [upstream("i2", started_ms=2)])
    current.record_upstreams(3, 0, [upstream("i1", started_ms=1, sequence=7)])
    assert state_of(current, "i1") == registry.STOPPED
    assert state_of(current, "i2") == registry.SERVING
    current.record_upstreams(4, 0, [upstream("i0", started_ms=1, sequence=7)])
    assert "i0" not in current.upstreams


def test_an_expired_upstream_serves_again_after_an_announcement():
    current = registry.Registry()
    current.record_upstreams(1, 0, [upstream(sequence=4)])
    expired = msgspec.structs.replace(
        current.upstreams["i1"], state=registry.EXPIRED
    )
    current.record_upstreams(2, 0, [expired])
    assert state_of(current) == registry.EXPIRED
    current.record_upstreams(3, 0, [upstream(sequence=9)])
    assert state_of(current) == registry.SERVING


def test_a_cold_period_is_an_update_and_a_heartbeat_is_not():
    current = registry.Registry()
    current.record_upstreams(1, 0, [upstream()])
    assert not current.is_update(upstream(sequence=2))
    assert current.is_update(upstream(sequence=2, cold_ms=900))


def test_pages_and_snapshots_reproduce_the_registry():
    current = registry.Registry()
    receiver = registrysync.Receiver()

    def receive():
        page = current.page_after(receiver.position)
        return receiver.receive(page, current.index)

    current.patch(1, [test_items.service(), test_items.route()])
    current.set_evacuation(2, "d1", True)
    current.record_upstreams(3, 0, [upstream()])
    receive()
    assert receiver.registry.evacuated == {"d1"}
    current.set_evacuation(4, "d1", False)
    receive()
    copy = receiver.registry
    assert copy.items.keys() == current.items.keys()
    assert copy.upstreams == current.upstreams
    assert copy.evacuated == current.evacuated
    assert copy.index == current.index
    assert (
        registry.from_snapshot(current.snapshot()).snapshot()
        == current.snapshot()
    )
    assert receive().records == 0


def test_ended_upstreams_are_removed_after_the_retention():
    current = registry.Registry()
    current.record_upstreams(1, 0, [upstream(state=registry.STOPPED)])
    after_retention_ms = registry.ENDED_RETENTION_MS + 1
    current.record_upstreams(
        2, after_retention_ms, [upstream("i2", address="10.0.0.2:80")]
    )
    assert list(current.upstreams) == ["i2"]
