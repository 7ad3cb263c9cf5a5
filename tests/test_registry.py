"""The registry: upstreams ordered by start and sequence, changes followed."""

import msgspec
import test_items

from pollenseam import registry


def upstream(id="i1", born=1, sequence=1, state=registry.SERVING, **more):
    values = {"address": "10.0.0.1:80", "cold_ms": 0} | more
    return registry.Upstream(
        id,
        born,
        sequence,
        "s1",
        values["address"],
        "d1",
        3,
        state,
        values["cold_ms"],
    )


def state_of(known, id="i1"):
    return known.upstreams[id].state


def test_a_late_announcement_does_not_undo_a_later_one():
    known = registry.Registry()
    known.record_upstreams(1, 0, [upstream(sequence=4)])
    known.record_upstreams(2, 0, [upstream(sequence=9, state=registry.LEAVING)])
    known.record_upstreams(3, 0, [upstream(sequence=8)])
    known.record_upstreams(4, 0, [upstream(sequence=12)])
    assert state_of(known) == registry.LEAVING


def test_a_new_start_under_the_same_id_counts_anew():
    known = registry.Registry()
    known.record_upstreams(
        1, 0, [upstream(sequence=40, state=registry.STOPPED)]
    )
    known.record_upstreams(2, 0, [upstream(born=2, sequence=1)])
    assert state_of(known) == registry.SERVING
    known.record_upstreams(3, 0, [upstream(sequence=41)])
    assert known.upstreams["i1"].started_ms == 2


def test_a_later_start_takes_an_address_over_for_good():
    known = registry.Registry()
    known.record_upstreams(1, 0, [upstream("i1", born=1)])
    known.record_upstreams(2, 0, [upstream("i2", born=2)])
    known.record_upstreams(3, 0, [upstream("i1", born=1, sequence=7)])
    assert state_of(known, "i1") == registry.STOPPED
    assert state_of(known, "i2") == registry.SERVING
    known.record_upstreams(4, 0, [upstream("i0", born=1, sequence=7)])
    assert "i0" not in known.upstreams


def test_a_silent_upstream_comes_back_when_it_speaks_again():
    known = registry.Registry()
    known.record_upstreams(1, 0, [upstream(sequence=4)])
    lost = msgspec.structs.replace(
        known.upstreams["i1"], state=registry.EXPIRED
    )
    known.record_upstreams(2, 0, [lost])
    assert state_of(known) == registry.EXPIRED
    known.record_upstreams(3, 0, [upstream(sequence=9)])
    assert state_of(known) == registry.SERVING


def test_becoming_cold_again_is_news_and_a_plain_sign_of_life_is_not():
    known = registry.Registry()
    known.record_upstreams(1, 0, [upstream()])
    assert not known.is_update(upstream(sequence=2))
    assert known.is_update(upstream(sequence=2, cold_ms=900))


def test_followers_see_what_the_leader_sees():
    known = registry.Registry()
    other = registry.Registry()
    known.patch(1, [test_items.service(), test_items.route()])
    known.set_evacuation(2, "d1", True)
    known.record_upstreams(3, 0, [upstream()])
    other.apply_deltas(known.deltas_since(0))
    known.set_evacuation(4, "d1", False)
    other.apply_deltas(known.deltas_since(other.index))
    assert other.snapshot() == known.snapshot()
    assert (
        registry.from_snapshot(known.snapshot()).snapshot() == known.snapshot()
    )
    assert not other.apply_deltas(known.deltas_since(0))


def test_ended_upstreams_are_forgotten_after_a_while():
    known = registry.Registry()
    known.record_upstreams(1, 0, [upstream(state=registry.STOPPED)])
    later = registry.ENDED_RETENTION_MS + 1
    known.record_upstreams(2, later, [upstream("i2", address="10.0.0.2:80")])
    assert list(known.upstreams) == ["i2"]
