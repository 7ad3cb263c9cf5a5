"""Disks that get full, and control VMs on such disks in the test's event loop.

`Disks` stands in for the module `os` in `journal`: calls that write fail for
the folders that are full. `Controls` runs control VMs with one folder each.
"""

import asyncio
import errno
import os
import pathlib
import time

import harness

from pollenseam import controlvm
from pollenseam import errors
from pollenseam import events
from pollenseam import items
from pollenseam import journal
from pollenseam import leases
from pollenseam import peers
from pollenseam.standins import fleet

WRITE_CALLS = ("open", "write", "fsync", "fdatasync", "replace", "truncate")
# What a full disk refuses; "room" leaves a few bytes for a first short write.
MODES = {
    "all": WRITE_CALLS,
    "write": ("write",),
    "room": ("room", "write"),
    "fdatasync": ("fdatasync",),
    "fsync": ("fsync", "fdatasync"),
    "replace": ("replace", "write"),
}
ROOM_BYTES = 20
# Stated bound of an acknowledgement.
ACK_SECONDS = 4.0
# Two elections, and the delay before a data folder is opened again.
RETURN_SECONDS = 4.0
ANSWER_SECONDS = 0.9


class Disks:
    """Stands in for `os`: calls that write fail for full folders.

    Attributes:
        modes: Mode of each full folder, by path.
        refused: Number of refused calls.
    """

    def __init__(self):
        self.modes = {}
        self.refused = 0
        self._folders = {}
        self._room = {}

    def __getattr__(self, name):
        return getattr(os, name)

    def mode(self, folder):
        return self.modes.get(folder, "")

    def fill(self, folder, mode):
        self._room[folder] = ROOM_BYTES
        self.modes[folder] = mode

    def free(self, folder):
        self.modes.pop(folder, None)

    def _check(self, call, folder):
        if call in MODES.get(self.mode(folder), ()):
            self.refused += 1
            raise OSError(errno.ENOSPC, f"no space left for {call}")

    def open(self, path, flags, mode=0o777):
        path = pathlib.Path(path)
        folder = path if path.is_dir() else path.parent
        if flags & os.O_CREAT and not path.exists():
            self._check("open", folder)
        file = os.open(path, flags, mode)
        self._folders[file] = folder
        return file

    def write(self, file, data):
        folder = self._folders[file]
        if "room" in MODES.get(self.mode(folder), ()) and self._room[folder]:
            data = bytes(data[: self._room[folder]])
            self._room[folder] -= len(data)
        else:
            self._check("write", folder)
        return os.write(file, data)

    def fsync(self, file):
        self._check("fsync", self._folders[file])
        os.fsync(file)

    def fdatasync(self, file):
        self._check("fdatasync", self._folders[file])
        os.fdatasync(file)

    def replace(self, source, target):
        self._check("replace", pathlib.Path(target).parent)
        os.replace(source, target)

    def truncate(self, path, length):
        self._check("truncate", pathlib.Path(path).parent)
        os.truncate(path, length)


class Controls:
    """Control VMs of one quorum, each with a data folder of its own.

    Attributes:
        folder: Contains the data folders.
        disks: The disks below the folder.
        domains: Failure domain of each VM, by name.
        vms: Running VMs by name.
        acknowledged: Newest acknowledged version of each item, by name.
        ack_seconds: Time that each acknowledged patch took.
    """

    def __init__(self, folder, monkeypatch, count, domain_count=0):
        self.folder = folder
        self.disks = Disks()
        monkeypatch.setattr(journal, "os", self.disks)
        self.domains = {
            f"c{n}": f"d{n % (domain_count or count)}" for n in range(count)
        }
        self.addresses = {
            name: f"127.0.0.1:{fleet.free_port()}" for name in self.domains
        }
        self.vms = {}
        self.logs = {}
        self.acknowledged = {}
        self.ack_seconds = []

    def data_folder(self, name):
        return self.folder / name

    async def start(self, name, may_bootstrap=False):
        sink = self.logs.setdefault(name, harness.Log())
        log = events.EventLog(name, events.LogicalClock(), sink)
        settings = controlvm.Settings(
            name,
            "r1",
            self.domains[name],
            self.addresses[name],
            list(self.addresses.values())[:3],
            self.data_folder(name),
            may_bootstrap,
            1.5,
            leases.Tolerance(5.0, 0.1, 20.0),
        )
        vm = await controlvm.open_vm(settings, log, peers.Client(log.clock))
        await vm.start()
        self.vms[name] = vm

    async def start_all(self, may_bootstrap=False):
        await asyncio.gather(
            *(self.start(name, may_bootstrap) for name in self.domains)
        )
        await self.until(self.all_vote, 20.0)

    async def kill(self, name):
        """Ends a VM at once: it hands nothing over."""
        vm = self.vms.pop(name)
        vm._tasks.cancel()
        await vm.server.stop(0.0)
        await vm.peers.close()

    async def kill_all(self):
        await asyncio.gather(*(self.kill(name) for name in list(self.vms)))

    def leader(self):
        """Returns the name of the VM that leads, or ""."""
        leading = [n for n, v in self.vms.items() if v.replica_runner.is_leader]
        return leading[0] if len(leading) == 1 else ""

    def members(self, name):
        """Returns the configuration that a VM has."""
        return self.vms[name].replica_runner.replica.members

    def all_vote(self):
        """Returns whether the leader's voters are exactly the running VMs.

        Each of them must run, and have the configuration itself.
        """
        leader = self.leader()
        if not leader:
            return False
        runners = [vm.replica_runner for vm in self.vms.values()]
        ids = {runner.replica.id for runner in runners}
        return len(ids) == len(self.domains) and all(
            not r.failure_reason and r.replica.members.voters.keys() == ids
            for r in runners
        )

    async def until(self, condition, seconds):
        deadline = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline, "condition not met in time"
            await asyncio.sleep(0.02)

    async def patch(self, item_name, version, seconds=ACK_SECONDS):
        """Sends one item to one VM after another until one acknowledges it.

        Returns:
            Whether it was acknowledged within `seconds`.
        """
        item = workspace(item_name, version)
        sent_at = time.monotonic()
        attempt = version
        while time.monotonic() < sent_at + seconds:
            names = list(self.vms)
            vm = self.vms[names[attempt % len(names)]]
            attempt += 1
            try:
                await vm.patch([item], vm.now() + ANSWER_SECONDS)
            except (errors.UnreachableError, errors.RefusedError):
                await asyncio.sleep(0.05)
                continue
            self.acknowledged[item_name] = max(
                version, self.acknowledged.get(item_name, 0)
            )
            self.ack_seconds.append(time.monotonic() - sent_at)
            return True
        return False

    def stored(self, name):
        """Returns the version of each item that a VM has applied."""
        stored = self.vms[name].applied_registry.items
        return {key[1]: item.version for key, item in stored.items()}

    def is_equal_everywhere(self):
        """Returns whether all VMs have the acknowledged items, or later."""
        states = [self.stored(name) for name in self.vms]
        return states == [states[0]] * len(states) and all(
            states[0].get(name, 0) >= version
            for name, version in self.acknowledged.items()
        )


def workspace(name, version):
    content = items.Workspace([f"k{version}"], None, 1.0, 1.0, [])
    return items.Item(items.WORKSPACE, name, version, content)
