"""Routing table: longest prefix, weighted splits, keys of workspaces."""

import collections

import test_items

from pollenseam import items
from pollenseam import routing


def build(*all_items, before=None):
    return routing.build({item.identity: item for item in all_items}, before)


def test_the_longest_prefix_of_the_host_wins():
    table = build(
        test_items.route("r1", prefix="/a/"),
        test_items.route("r2", prefix="/a/b/"),
        test_items.route("r3", prefix="/a/b/", host="other"),
    )
    assert table.find_route("H", "/a/b/c").name == "r2"
    assert table.find_route("h", "/a/c").name == "r1"
    assert table.find_route("h", "/a") is None
    assert table.find_route("nowhere", "/a/") is None


def test_splits_keep_their_weights_over_short_spans():
    splits = [items.Split("s1", 90.0), items.Split("s2", 10.0)]
    named_route = build(test_items.route(splits=splits)).find_route("h", "/a/")
    services = [named_route.next_service() for _ in range(200)]
    for start in range(0, 200, 20):
        counts = collections.Counter(services[start : start + 20])
        assert counts == {"s1": 18, "s2": 2}


def test_an_unchanged_route_keeps_its_round_robin_state():
    splits = [items.Split("s1", 50.0), items.Split("s2", 50.0)]
    first = build(test_items.route(splits=splits))
    service = first.find_route("h", "/a/").next_service()
    second = build(test_items.route(splits=splits), before=first)
    assert second.find_route("h", "/a/").next_service() != service


def test_a_deleted_workspace_loses_its_keys_and_keys_stay_required():
    item = test_items.workspace()
    assert build(item).keys["k1"].name == "w1"
    deleted = build(test_items.deleted(item, 2))
    assert not deleted.keys
    assert deleted.requires_key
