"""Tables: the longest prefix wins, splits keep their weights, keys go."""

import collections

import test_items

from pollenseam import items
from pollenseam import routing


def built(*found, before=None):
    return routing.build({item.place: item for item in found}, before)


def test_the_longest_prefix_of_the_host_wins():
    table = built(
        test_items.route("r1", prefix="/a/"),
        test_items.route("r2", prefix="/a/b/"),
        test_items.route("r3", prefix="/a/b/", host="other"),
    )
    assert table.find_route("H", "/a/b/c").name == "r2"
    assert table.find_route("h", "/a/c").name == "r1"
    assert table.find_route("h", "/a") is None
    assert table.find_route("nowhere", "/a/") is None


def test_splits_keep_their_weights_in_every_short_span():
    splits = [items.Split("s1", 90.0), items.Split("s2", 10.0)]
    entry = built(test_items.route(splits=splits)).find_route("h", "/a/")
    turns = [entry.next_service() for _ in range(200)]
    for start in range(0, 200, 20):
        counts = collections.Counter(turns[start : start + 20])
        assert counts == {"s1": 18, "s2": 2}


def test_an_unchanged_route_keeps_its_turns():
    splits = [items.Split("s1", 50.0), items.Split("s2", 50.0)]
    first = built(test_items.route(splits=splits))
    turn = first.find_route("h", "/a/").next_service()
    second = built(test_items.route(splits=splits), before=first)
    assert second.find_route("h", "/a/").next_service() != turn


def test_a_removed_workspace_takes_its_keys_along_and_keys_stay_needed():
    held = test_items.workspace()
    assert built(held).keys["k1"].name == "w1"
    gone = built(test_items.deleted(held, 2))
    assert not gone.keys
    assert gone.requires_key
