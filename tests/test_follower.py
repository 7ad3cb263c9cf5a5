"""Following settings: what is taken over whole keeps its last change."""

import asyncio
import types

from pollenseam import follower
from pollenseam import freshness
from pollenseam import messages
from pollenseam import settings
from pollenseam import tree


def view(own_tree):
    """Returns as much of a VM as following needs."""
    return types.SimpleNamespace(
        tree=own_tree,
        changed=asyncio.Event(),
        freshness=freshness.Freshness(),
        settings_age_ms=lambda: 5,
        note_settings=lambda: None,
    )


async def fetched(source):
    """Returns a new VM's tree after it fetched from a source's."""
    feed = await follower.Follower(view(source)).answer_fetch(
        messages.Fetch("v2", 0, 0, 0)
    )
    own = view(tree.Tree())
    follower.Follower(own)._apply_feed(feed, 1.0)
    return own.tree


async def test_a_fleet_that_is_founded_shows_no_index_that_goes_back():
    """A replica fetches before its own log has caught up, then uses that.

    Entries without a write move the index, not the last change: the fetched
    tree must not show a change that its own will not have.
    """
    replicas = tree.Tree()
    replicas.index = 1
    found = await fetched(replicas)
    assert found.index == 1
    assert found.changed_index == replicas.changed_index == 0


async def test_the_last_change_comes_along_with_a_whole_tree():
    source = tree.Tree()
    source.index = 4
    source.write([tree.Write("/fleet", settings.Fleet())])
    source.index = 9
    source.floor = 9
    found = await fetched(source)
    assert (found.index, found.changed_index) == (9, 4)
