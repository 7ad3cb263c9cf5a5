"""Control VMs whose disks are full, or fail part of the way, one by one."""

import asyncio

import fakedisks
import pytest
import simulation

from pollenseam import journal
from pollenseam import replicarunner

# Stated time after a fault by which all is well again (`recovery_s`).
RECOVERY_SECONDS = 15.0
DOMAINS = {
    "one-domain-each": ["d1", "d2", "d3", "d4", "d5", "d6"],
    "shared-domains": ["d1", "d2", "d3", "d1", "d2"],
    "three": ["d1", "d2", "d3"],
    "one-domain": ["d1", "d1", "d1", "d1"],
    "nine": ["d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8", "d9"],
}


@pytest.fixture
def small_journals(monkeypatch):
    """Makes snapshots and segments so small that each run has many."""
    monkeypatch.setattr(replicarunner, "SNAPSHOT_INTERVAL_ENTRIES", 25)
    monkeypatch.setattr(journal, "SEGMENT_BYTES", 2000)


def fill(disk, chance):
    """Makes a disk refuse some operations, or writes after a few bytes."""
    match chance.randrange(4):
        case 0:
            disk.failing = frozenset({"write"})
        case 1:
            disk.free_bytes = chance.randrange(3000)
        case 2:
            count = chance.randint(1, len(fakedisks.OPERATIONS))
            names = chance.sample(fakedisks.OPERATIONS, count)
            disk.failing = frozenset(names)
        case 3:
            disk.failing = frozenset({"sync", "sync-folder"})


async def kill_at_an_operation(machine, chance):
    """Kills a VM between two operations on its disk; it starts again."""
    machine.disk.operations_left = chance.randint(1, 12)
    await asyncio.sleep(chance.uniform(0.0, 0.5))
    await machine.kill()
    machine.disk.operations_left = None
    if chance.random() < 0.3:
        machine.disk.lose_power()
    machine.start()


async def wipe(fleet, machine):
    """Lets a VM lose its disk, once all others are well."""
    await fleet.wait_until(fleet.is_whole, RECOVERY_SECONDS)
    await machine.kill()
    machine.disk.wipe()
    machine.start()


async def fill_disks_in_turn(fleet, turns):
    chance = fleet.random
    for _ in range(turns):
        machine = chance.choice(fleet.vms)
        leaders = fleet.leaders()
        if leaders and chance.random() < 0.4:
            machine = leaders[0]
        match chance.randrange(8):
            case 0 | 1:
                await kill_at_an_operation(machine, chance)
            case 2:
                await wipe(fleet, machine)
        fill(machine.disk, chance)
        await asyncio.sleep(chance.uniform(0.3, 7.0))
        if chance.random() < 0.2:
            await kill_at_an_operation(machine, chance)
        machine.disk.heal()
        await asyncio.sleep(chance.choice([0.0, chance.uniform(0.0, 3.0)]))


def check_disks(fleet):
    """Checks that nothing is left of what failed."""
    for machine in fleet.vms:
        names = simulation.data_files(machine)
        assert not [n for n in names if n.endswith(".new")], machine.name
        assert len(machine.disk.open_files) <= 1, machine.name


@pytest.mark.parametrize("domains", DOMAINS)
@pytest.mark.parametrize("seed", range(4))
def test_changes_go_on_after_disks_were_full_one_after_another(
    tmp_path, monkeypatch, small_journals, domains, seed
):
    """Guards against changes refused for good after disks were full in turn.

    Never two at once; any operation may fail, also part of the way.
    """
    fleet = simulation.Fleet(tmp_path, seed, DOMAINS[domains])
    fleet.patch_modules(monkeypatch)

    async def play():
        fleet.start()
        await fleet.wait_until(fleet.is_whole, 15.0)
        async with fleet.changing():
            await fill_disks_in_turn(fleet, 8)
            await fleet.wait_until(fleet.is_whole, RECOVERY_SECONDS)
            before = fleet.acknowledged
            await fleet.wait_until(lambda: fleet.acknowledged > before, 1.0)
        await fleet.wait_until(fleet.has_what_was_acknowledged, 5.0)
        check_disks(fleet)
        for machine in fleet.vms:
            await machine.kill()
            machine.disk.lose_power()
            machine.start()
        await fleet.wait_until(fleet.is_whole, RECOVERY_SECONDS)
        await fleet.wait_until(fleet.has_what_was_acknowledged, 5.0)
        await fleet.stop()

    simulation.run(play(), seed)
    assert not fleet.ended_tasks


def test_a_disk_that_is_back_leaves_no_learner_behind(tmp_path, monkeypatch):
    """Guards against a learner that no VM runs and the leader feeds for ever.

    A VM starts without its disk, asks to be taken in under a new id, and then
    starts with its disk, whose replica is still a voter.
    """
    monkeypatch.setattr(simulation, "POLL_SECONDS", 0.0005)
    fleet = simulation.Fleet(tmp_path, 1, DOMAINS["three"])
    fleet.patch_modules(monkeypatch)

    async def main():
        fleet.start()
        await fleet.wait_until(fleet.is_whole, RECOVERY_SECONDS)
        [leader] = fleet.leaders()
        machine = next(m for m in fleet.vms if m is not leader)
        await machine.kill()
        disk = machine.disk
        machine.disk = fakedisks.Disk(tmp_path / "other", 1)
        fleet.faulty_os.disks.append(machine.disk)
        machine.start()
        core = leader.control.replica_runner.replica
        await fleet.wait_until(lambda: core.members.learners, RECOVERY_SECONDS)
        await machine.kill()
        machine.disk = disk
        machine.start()
        await fleet.wait_until(fleet.is_whole, RECOVERY_SECONDS)
        await fleet.stop()

    simulation.run(main(), 1)


@pytest.mark.parametrize("layout", ["shared-domains", "one-domain-each"])
def test_two_disks_lost_beside_a_vm_that_was_off_are_no_end(
    tmp_path, monkeypatch, layout
):
    """Guards against a quorum of five that two lost disks end for good.

    A VM that is off for some seconds was taken out, as its failure domain has
    another voter: of four voters two are no majority, though with the VM that
    returns three of five disks are left.
    """
    fleet = simulation.Fleet(tmp_path, 1, DOMAINS[layout][:5])
    fleet.patch_modules(monkeypatch)

    async def main():
        fleet.start()
        await fleet.wait_until(fleet.is_whole, RECOVERY_SECONDS)
        # The leader hears where each VM is.
        await asyncio.sleep(2.0)
        assert await fleet.change()
        await fleet.vms[0].kill()
        await asyncio.sleep(8.0)
        for machine in fleet.vms[1:3]:
            await machine.kill()
            machine.disk.wipe()
        for machine in fleet.vms[:3]:
            machine.start()
        await fleet.wait_until(fleet.is_whole, RECOVERY_SECONDS)
        await fleet.wait_until(fleet.has_what_was_acknowledged, 1.0)
        await fleet.stop()

    simulation.run(main(), 1)
