"""Control VMs whose disks are full: they stay out for a while and return."""

import asyncio

import pytest
import simulation

from pollenseam import journal
from pollenseam import replicarunner

FULL = frozenset({"write"})
# Time after a disk has room again by which its VM votes.
RETURN_SECONDS = 4.0


@pytest.fixture
def play(tmp_path, monkeypatch):
    """Returns a function that plays a scenario on a fleet that has started."""

    def run(scenario, domains, seed=1):
        fleet = simulation.Fleet(tmp_path, seed, domains)
        fleet.patch_modules(monkeypatch)

        async def main():
            fleet.start()
            await fleet.wait_until(fleet.is_whole, 15.0)
            await scenario(fleet)
            await fleet.stop()

        simulation.run(main(), seed)
        assert not fleet.ended_tasks

    return run


def test_a_voter_taken_out_while_its_disk_was_full_votes_again(play):
    """Guards against a control VM that nobody asks back into the quorum.

    A voter that is out for 3 s is taken out if another one is in its failure
    domain. It doesn't know: its own log says that it votes, nobody sends it
    anything, or answers its requests for votes.
    """

    async def fill_disks_in_turn(fleet):
        async with fleet.changing():
            for machine in fleet.vms[:3]:
                machine.disk.failing = FULL
                await asyncio.sleep(5.0)
                machine.disk.heal()
                await fleet.wait_until(fleet.is_whole, RETURN_SECONDS)
        assert len(fleet.lines("replica-removed")) == 3

    play(fill_disks_in_turn, ["d1", "d1", "d2", "d2"])


def test_a_disk_that_is_full_for_long_costs_no_open_files(play):
    """Guards against a descriptor lost at each try to open the data folder.

    With none left the data folder can't be opened again, also with room.
    """

    async def fill_disk_for_long(fleet):
        disk = fleet.vms[0].disk
        disk.failing = FULL
        async with fleet.changing():
            await asyncio.sleep(60.0)
            assert len(disk.open_files) <= 1
            disk.heal()
            await fleet.wait_until(fleet.is_whole, RETURN_SECONDS)
        assert len(disk.open_files) == 1

    play(fill_disk_for_long, ["d1", "d2", "d3"])


def test_a_record_that_its_process_did_not_sync_is_synced_before_it_counts(
    play,
):
    """Guards against a change acknowledged for a copy that is on no disk.

    A process ended between the write of a record and its sync. The next one
    read the record from the kernel's cache.
    """

    async def lose_a_copy_that_was_not_synced(fleet):
        [leader] = fleet.leaders()
        writer, other = [m for m in fleet.vms if m is not leader]
        await other.kill()
        writer.disk.failing = frozenset({"sync"})
        change = asyncio.create_task(fleet.change(leader))
        await fleet.wait_until(
            lambda: "event=replica-failed" in writer.lines[-1], 1.0
        )
        await writer.kill()
        writer.disk.heal()
        writer.start()
        await change
        while not fleet.acknowledged:
            await fleet.change(leader)
        for machine in fleet.vms:
            await machine.kill()
            machine.disk.lose_power()
        leader.disk.wipe()
        for machine in fleet.vms:
            machine.start()
        await fleet.wait_until(fleet.is_whole, 20.0)
        await fleet.wait_until(fleet.has_what_was_acknowledged, 5.0)

    play(lose_a_copy_that_was_not_synced, ["d1", "d2", "d3"])


def test_a_snapshot_that_could_not_be_read_is_sent_later(play, monkeypatch):
    """Guards against a learner that waits for its snapshot for good."""
    monkeypatch.setattr(replicarunner, "SNAPSHOT_INTERVAL_ENTRIES", 10)

    async def fail_reads_while_a_wiped_vm_joins(fleet):
        [leader] = fleet.leaders()
        wiped = next(m for m in fleet.vms if m is not leader)
        storage = leader.control.replica_runner.journal
        async with fleet.changing():
            await fleet.wait_until(lambda: fleet.lines("snapshot"), 10.0)
            await wiped.kill()
            wiped.disk.wipe()
            leader.disk.failing = frozenset({"read"})
            wiped.start()
            await fleet.wait_until(lambda: leader.disk.refusals > 0, 5.0)
            leader.disk.heal()
            await fleet.wait_until(fleet.is_whole, 8.0)
        assert leader.control.replica_runner.journal is storage

    play(fail_reads_while_a_wiped_vm_joins, ["d1", "d2", "d3"])


def test_a_seed_that_cannot_store_the_quorum_yet_becomes_a_whole_voter(
    tmp_path, monkeypatch
):
    """Guards against a voter that never stands for election.

    The others found the quorum and send it entries before it has stored their
    names; it then took the log for one with a configuration.
    """
    fleet = simulation.Fleet(tmp_path, 1, ["d1", "d2", "d3"])
    fleet.patch_modules(monkeypatch)

    async def fill_disk_while_the_quorum_is_founded():
        late, *others = fleet.vms
        late.start()
        await fleet.wait_until(lambda: late.control, 5.0)
        late.disk.failing = frozenset({"rename"})
        for machine in others:
            machine.start()
        await fleet.wait_until(fleet.leaders, 5.0)
        late_replica = late.control.replica_runner.replica
        await fleet.wait_until(lambda: late_replica.leader, 1.0)
        late.disk.heal()
        await fleet.wait_until(fleet.is_whole, 5.0)
        assert len(fleet.lines("quorum-founded")) == 3
        await fleet.stop()

    simulation.run(fill_disk_while_the_quorum_is_founded(), 1)


def test_a_snapshot_that_did_not_fit_leaves_no_file(play, monkeypatch):
    """Guards against files of failed writes that fill a small disk."""
    monkeypatch.setattr(replicarunner, "SNAPSHOT_INTERVAL_ENTRIES", 10)

    async def fill_disk_while_it_takes_a_snapshot(fleet):
        disk = fleet.vms[0].disk
        leftover = disk.folder / "snapshot.new"
        async with fleet.changing():
            disk.failing = frozenset({"rename"})
            await fleet.wait_until(leftover.exists, 10.0)
            monkeypatch.setattr(replicarunner, "SNAPSHOT_INTERVAL_ENTRIES", 999)
            disk.failing = FULL
            await asyncio.sleep(2.0)
            disk.heal()
            await fleet.wait_until(fleet.is_whole, 8.0)
        names = simulation.data_files(fleet.vms[0])
        assert [n for n in names if not n.endswith(".log")] == ["identity"]

    play(fill_disk_while_it_takes_a_snapshot, ["d1", "d2", "d3"])


def test_a_vm_whose_disk_is_full_passes_changes_on_to_the_leader(play):
    """Guards against changes refused by a VM that could pass them on."""

    async def fill_disks(fleet):
        for machine in fleet.vms:
            machine.disk.failing = FULL
            await fleet.change(machine)
            await fleet.wait_until(
                lambda vm=machine: fleet.leaders() not in ([], [vm]), 4.0
            )
            for _ in range(10):
                assert await fleet.change(machine), fleet.describe()
            machine.disk.heal()
            await fleet.wait_until(fleet.is_whole, 8.0)

    play(fill_disks, ["d1", "d2", "d3"])


def test_large_changes_do_not_fill_the_disks_with_the_log(play, monkeypatch):
    """Guards against disks and memory that the log itself fills.

    Snapshots came after a number of entries, however large these were.
    """
    monkeypatch.setattr(replicarunner, "SNAPSHOT_INTERVAL_BYTES", 20_000)
    monkeypatch.setattr(journal, "SEGMENT_BYTES", 20_000)

    async def send_changes(fleet):
        for _ in range(500):
            await fleet.change()
        for machine in fleet.vms:
            files = machine.disk.folder.iterdir()
            assert sum(path.stat().st_size for path in files) < 50_000

    play(send_changes, ["d1", "d2", "d3"])


def test_a_wiped_vm_whose_disk_is_full_as_it_votes_again_stops_no_change(play):
    """Guards against a quorum that counts a lost replica and its successor.

    Of four voters one was lost for good and one out, so all others had to
    agree; of three VMs two are not enough for that.
    """

    async def fill_the_disk_of_a_vm_that_is_back(fleet):
        [leader] = fleet.leaders()
        wiped = next(m for m in fleet.vms if m is not leader)
        await wiped.kill()
        wiped.disk.wipe()
        async with fleet.changing():
            wiped.start()
            await fleet.wait_until(
                lambda: fleet.lines("replica-promoted"), 10.0
            )
            wiped.disk.failing = FULL
            await asyncio.sleep(1.0)
            before = fleet.acknowledged
            await asyncio.sleep(5.0)
            assert fleet.acknowledged >= before + 10
            wiped.disk.heal()
            await fleet.wait_until(fleet.is_whole, 15.0)

    play(fill_the_disk_of_a_vm_that_is_back, ["d1", "d2", "d3"])
