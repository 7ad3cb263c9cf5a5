"""Orders on evacuations that were given up, or come late."""

import asyncio
import signal

import controls
import machines
import msgspec

from pollenseam import commands
from pollenseam import evacuations


class EarlierSetEvacuation(msgspec.Struct, tag="evacuate", array_like=True):
    """The command as builds before it carried an index."""

    failure_domain: str
    is_evacuated: bool


def is_evacuated(control):
    return "z1" in control.vm.applied_registry.evacuated


async def test_an_order_that_was_given_up_is_not_carried_out(tmp_path):
    """Guards against an order whose caller has sent it elsewhere.

    It was in the queue, but not yet in the log.
    """
    async with controls.running(tmp_path) as control:
        runner = control.vm.replica_runner
        order = commands.SetEvacuation("z1", True)
        given_up = asyncio.create_task(runner.submit(order))
        await asyncio.sleep(0)
        given_up.cancel()
        await runner.submit(commands.AdvanceClock())
        assert not is_evacuated(control)


async def test_a_late_copy_of_an_order_does_not_undo_a_newer_one(
    tmp_path, monkeypatch
):
    """Guards against an evacuation that ends though it was the last order.

    One VM holds the order back; meanwhile another carries out its copy and
    the opposite. The late copy has no clear answer: nobody is refused.
    """
    async with controls.running(tmp_path) as control:
        proposer = control.vm.proposer
        submit = proposer.submit
        is_held = asyncio.Event()
        may_go_on = asyncio.Event()

        async def submit_late(command, deadline):
            monkeypatch.setattr(proposer, "submit", submit)
            is_held.set()
            await may_go_on.wait()
            return await submit(command, deadline)

        assert (await control.call("evacuate.start", "z1"))[0] == 200
        monkeypatch.setattr(proposer, "submit", submit_late)
        late = asyncio.create_task(control.call("evacuate.end", "z1"))
        await is_held.wait()
        # The same state again, which changes nothing, is an order as well.
        assert (await control.call("evacuate.start", "z1"))[0] == 200
        may_go_on.set()
        assert (await late)[0] == 503
        assert is_evacuated(control)
        assert (await control.call("evacuate.end", "z1"))[0] == 200
        assert not is_evacuated(control)


def test_orders_of_an_earlier_term_come_late():
    orders = evacuations.Orders()
    orders.record(commands.SetEvacuation("z1", True), 40)
    known = commands.SetEvacuation("z1", False, 49)
    unknown = commands.SetEvacuation("z1", False, 48)
    assert not orders.is_late(known, 50)
    assert orders.is_late(unknown, 50)
    orders.record(known, 52)
    assert orders.is_late(commands.SetEvacuation("z1", True, 51), 50)
    assert not orders.is_late(commands.SetEvacuation("z2", True, 51), 50)
    assert not orders.is_late(commands.SetEvacuation("z1", True, 52), 50)


def test_orders_in_the_logs_of_both_builds_can_be_read():
    earlier = EarlierSetEvacuation("z1", True)
    order = commands.decode(msgspec.msgpack.encode(earlier))
    assert order == commands.SetEvacuation("z1", True, commands.NO_INDEX)
    assert not evacuations.Orders().is_late(order, 50)
    data = commands.encode(commands.SetEvacuation("z1", True, 7))
    read = msgspec.msgpack.decode(data, type=EarlierSetEvacuation)
    assert read == earlier


async def test_a_zone_that_came_with_new_settings_can_be_evacuated(
    tmp_path, monkeypatch
):
    """Guards against an order that is refused until the next restart."""
    async with machines.running_cluster(tmp_path) as cluster:
        control = cluster.control_vms[0]

        def evacuate():
            return cluster.rpc("evacuate.start", "z9", control_vm=control)

        assert (await evacuate())[0] == 400
        monkeypatch.setitem(machines.ZONES, "z9", "r9")
        control.write_settings()
        control.process.send_signal(signal.SIGHUP)
        await cluster.wait_until(lambda: cluster.has_status_200(evacuate()))
