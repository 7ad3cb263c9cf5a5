"""Messages between control VMs whose streams to each other end."""

import asyncio

import pytest
import simulation

from pollenseam import messages
from pollenseam import outbox


@pytest.mark.parametrize("count", range(1, 40))
def test_streams_that_stay_open_have_both_ways_and_reach_a_majority(count):
    """Guards against votes that wait for a connection on their way back."""
    members = messages.Members({f"c{n}": f"c{n}:1" for n in range(count)})
    neighbours = {id: outbox.neighbours(members, id) for id in members.voters}
    for id, found in neighbours.items():
        assert id not in found
        assert len(found) == len(set(found))
        assert all(id in neighbours[other] for other in found)
        wanted = count // 2 + outbox.SPARE_STREAMS
        assert len(found) in (min(count - 1, n) for n in (wanted, wanted + 1))
    assert outbox.neighbours(members, "stranger") == []


def test_replicas_go_on_after_a_stream_ended_during_a_write(
    tmp_path, monkeypatch
):
    """Guards against a leader that sends a follower nothing more, for good.

    gRPC raises asyncio.InvalidStateError if the call ended before the write.
    """
    fleet = simulation.Fleet(tmp_path, 1, ["d1", "d2", "d3"])
    fleet.patch_modules(monkeypatch)

    async def end_all_streams():
        fleet.start()
        await fleet.wait_until(fleet.is_whole, 15.0)
        fleet.network.ends_streams = True
        await asyncio.sleep(5.0)
        fleet.network.ends_streams = False
        await fleet.wait_until(fleet.leaders, 10.0)
        await fleet.change()
        assert fleet.acknowledged
        await fleet.wait_until(fleet.has_what_was_acknowledged, 1.0)
        await fleet.stop()

    simulation.run(end_all_streams(), 1)
