"""Tests of items: order of versions, validation of patches and routes."""

import pytest

from pollenseam import errors
from pollenseam import items
from pollenseam import registry


def route(name="r1", version=1, service="s1", host="h", prefix="/a/", **more):
    split = [items.Split(service, 1.0)]
    values = {"timeout_seconds": 1.0, "splits": split} | more
    body = items.Route(
        host,
        prefix,
        True,
        values["timeout_seconds"],
        0.5,
        1,
        values["splits"],
        2,
        False,
        True,
        [],
    )
    return items.Item(items.ROUTE, name, version, body, b"{}")


def service(name="s1", version=1):
    body = items.Service("/health", 10, 3.0, 3.0)
    return items.Item(items.SERVICE, name, version, body)


def workspace(name="w1", version=1, keys=("k1",)):
    body = items.Workspace(list(keys), 1, 10.0, 10.0, [])
    return items.Item(items.WORKSPACE, name, version, body)


def deleted(item, version):
    return items.Item(item.kind, item.name, version, None)


def filled_registry():
    current = registry.Registry()
    current.patch(1, [service(), route(), workspace()])
    return current


def version_of(current, item):
    return current.items[item.identity].version


def test_the_highest_version_is_effective_in_any_order():
    current = filled_registry()
    current.patch(2, [route(version=5, prefix="/b/")])
    current.patch(3, [route(version=4)])
    assert version_of(current, route()) == 5
    current.patch(4, [deleted(route(), 6)])
    current.patch(5, [route(version=5, prefix="/b/")])
    assert current.items[route().identity].body is None


def test_the_same_patch_again_changes_nothing_and_is_not_refused():
    current = filled_registry()
    current.patch(2, [service(), route(), workspace()])
    assert current.index == 1


def test_other_content_at_the_current_version_is_refused():
    current = filled_registry()
    with pytest.raises(errors.RefusedError) as caught:
        current.patch(2, [route(prefix="/c/")])
    assert caught.value.refusal.kind == errors.Kind.CONFLICT


@pytest.mark.parametrize(
    "patch",
    [
        [route("r2", service="nowhere", prefix="/z/")],
        [workspace("w2")],
        [route("r2")],
        [deleted(service(), 2)],
    ],
    ids=["unknown service", "shared key", "same path", "service in use"],
)
def test_an_invalid_patch_is_refused_entirely(patch):
    current = filled_registry()
    before = dict(current.items)
    with pytest.raises(errors.RefusedError) as caught:
        current.patch(2, [workspace("w9", keys=("k9",)), *patch])
    assert caught.value.refusal.kind == errors.Kind.MALFORMED
    assert current.items == before


def test_a_key_may_move_between_workspaces_in_one_patch():
    current = filled_registry()
    current.patch(2, [workspace(version=2, keys=()), workspace("w2")])
    assert version_of(current, workspace("w2")) == 1


@pytest.mark.parametrize(
    "bad",
    [
        route(timeout_seconds=601.0),
        route(timeout_seconds=0.0),
        route(prefix="a/"),
        route(splits=[items.Split("s1", -1.0), items.Split("s2", 3.0)]),
        route(splits=[items.Split("s1", 0.0)]),
    ],
    ids=["long timeout", "no timeout", "prefix", "below zero", "no weight"],
)
def test_a_route_with_an_invalid_value_is_refused(bad):
    with pytest.raises(errors.RefusedError):
        items.check_route(bad.name, bad.body)
