"""Control VMs whose disks get full, one after another, for a few seconds."""

import os
import pathlib

import fulldisks
import pytest

from pollenseam import datafolder


@pytest.fixture
def controls(tmp_path, monkeypatch):
    def create(count, domain_count=0):
        return fulldisks.Controls(tmp_path, monkeypatch, count, domain_count)

    return create


def open_files_below(folder):
    links = pathlib.Path("/proc/self/fd").iterdir()
    paths = [os.readlink(link) for link in links if link.is_symlink()]
    return sum(path.startswith(str(folder)) for path in paths)


async def test_a_full_disk_uses_up_no_file_descriptors(controls, monkeypatch):
    """Guards against a descriptor lost at each try to open the folder again."""
    monkeypatch.setattr(datafolder, "REOPEN_SECONDS", 0.01)
    cluster = controls(1)
    await cluster.start_all(may_bootstrap=True)
    folder = cluster.data_folder("c0")
    cluster.disks.fill(folder, "write")
    assert not await cluster.patch("w", 1, seconds=0.1)
    await cluster.until(lambda: cluster.disks.refused > 20, 5.0)
    assert open_files_below(folder) <= 1
    cluster.disks.free(folder)
    assert await cluster.patch("w", 1)
    await cluster.kill_all()


async def test_a_voter_taken_out_while_its_disk_was_full_votes_again(controls):
    """Guards against a control VM that nobody asks back into the quorum.

    The leader's disk got full, the next leader took it out, as another VM of
    its failure domain votes, and its own log still said that it is a voter.
    """
    cluster = controls(4, domain_count=2)
    await cluster.start_all(may_bootstrap=True)
    victim = cluster.leader()
    id = cluster.vms[victim].replica_runner.replica.id
    cluster.disks.fill(cluster.data_folder(victim), "write")

    def is_taken_out():
        leader = cluster.leader()
        return leader and id not in cluster.members(leader).voters

    assert await cluster.patch("w", 1)
    await cluster.until(is_taken_out, 10.0)
    cluster.disks.free(cluster.data_folder(victim))
    await cluster.until(cluster.all_vote, fulldisks.RETURN_SECONDS)
    assert await cluster.patch("w", 2)
    await cluster.until(cluster.is_equal_everywhere, 2.0)
    await cluster.kill_all()
