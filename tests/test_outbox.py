"""Messages between control VMs whose streams to each other end."""

import asyncio

import simulation


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
