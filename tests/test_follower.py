"""Fetching settings: a full copy keeps the index of its last change."""

import asyncio
import types

from pollenseam import follower
from pollenseam import freshness
from pollenseam import messages
from pollenseam import settings
from pollenseam import tree


def fake_vm(own_tree):
    """Returns a stand-in for a VM with the attributes a follower uses."""
    return types.SimpleNamespace(
        tree=own_tree,
        changed=asyncio.Event(),
        freshness=freshness.Freshness(),
        settings_age_ms=lambda: 5,
        activate_settings=lambda: None,
    )


async def fetch_tree(source):
    """Returns the tree of a new VM after a fetch from a VM with `source`."""
    response = await follower.Follower(fake_vm(source)).answer_fetch(
        messages.Fetch("v2", 0, 0, 0)
    )
    local_vm = fake_vm(tree.Tree())
    follower.Follower(local_vm)._apply_response(response, 1.0)
    return local_vm.tree


async def test_entries_without_a_write_do_not_raise_the_changed_index():
    """Guards against an index of the last change that goes back.

    A replica fetches settings until its own log has caught up, then uses
    the tree of that log. Log entries without a write raise the index but not
    the index of the last change. If a fetched tree reported a later change
    than the log has, the index would go back at the switch.
    """
    source = tree.Tree()
    source.index = 1
    fetched_tree = await fetch_tree(source)
    assert fetched_tree.index == 1
    assert fetched_tree.changed_index == source.changed_index == 0


async def test_a_full_copy_includes_the_index_of_the_last_change():
    source = tree.Tree()
    source.index = 4
    source.write([tree.Write("/fleet", settings.Fleet())])
    source.index = 9
    source.compacted_index = 9
    fetched_tree = await fetch_tree(source)
    assert (fetched_tree.index, fetched_tree.changed_index) == (9, 4)
