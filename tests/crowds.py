"""Crowds of odd callers, and a watch on the process that they meet."""

import asyncio
import contextlib
import fcntl
import os
import pathlib
import struct
import tempfile

import machines
from aiohttp import web

LOCK_PATH = pathlib.Path(tempfile.gettempdir()) / "pollenseam-crowds.lock"
WATCH_INTERVAL_SECONDS = 0.05
CROWD_TIMEOUT_SECONDS = 30.0
# The crowd's connections stay open this long after their last byte.
HOLD_SECONDS = 3.0
PIECE_BYTES = 256 * 1024
# Kilobytes in /proc are of 1,024 bytes; megabytes of the settings of 10**6.
KIB = 1024
MB = 1_000_000


@contextlib.asynccontextmanager
async def alone():
    """Keeps other crowds of this machine waiting, in all test processes."""
    with LOCK_PATH.open("w") as file:
        await asyncio.to_thread(fcntl.flock, file, fcntl.LOCK_EX)
        yield


class Daemon:
    """The process of a daemon, as the watch takes it."""

    def __init__(self, process, address):
        self.name = process.name
        self.child = process.child
        self.ip, _, port = address.rpartition(":")
        self.port = int(port)

    @property
    def process(self):
        self.child.poll()
        return self.child


class Watch:
    """Samples the memory and the sockets of one process.

    Attributes:
        peak_bytes: Largest sum of resident memory and of the bytes that the
            kernel holds unread or unsent for the process.
        peak_kernel_bytes: Largest part of it that the kernel held.
        peak_sockets: Largest number of open sockets.
    """

    def __init__(self, machine):
        self.machine = machine
        self.folder = pathlib.Path(f"/proc/{machine.process.pid}")
        self.peak_bytes = 0
        self.peak_kernel_bytes = 0
        self.peak_sockets = 0

    def sample(self):
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            kernel = self.kernel_bytes()
            resident = self.peak_resident_bytes() + kernel
            self.peak_bytes = max(self.peak_bytes, resident)
            self.peak_kernel_bytes = max(self.peak_kernel_bytes, kernel)
            self.peak_sockets = max(self.peak_sockets, self.sockets())

    def peak_resident_bytes(self):
        for line in (self.folder / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * KIB
        return 0

    def sockets(self):
        count = 0
        for path in (self.folder / "fd").iterdir():
            with contextlib.suppress(FileNotFoundError):
                count += os.readlink(path).startswith("socket:")
        return count

    def kernel_bytes(self):
        """Returns the bytes in the queues of the sockets at the VM's IP."""
        parts = bytes(int(part) for part in self.machine.ip.split("."))
        own_address = f"{struct.unpack('<I', parts)[0]:08X}:"
        if isinstance(self.machine, Daemon):
            own_address += f"{self.machine.port:04X}"
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            # The receive queue of a listener counts connections.
            if fields[1].startswith(own_address) and fields[3] != "0A":
                total += sum(int(text, 16) for text in fields[4].split(":"))
        return total

    @contextlib.asynccontextmanager
    async def running(self):
        """Samples while the context is entered."""
        (self.folder / "clear_refs").write_text("5")

        async def sample_all():
            while True:
                self.sample()
                await asyncio.sleep(WATCH_INTERVAL_SECONDS)

        task = asyncio.create_task(sample_all())
        try:
            yield self
        finally:
            task.cancel()
            self.sample()

    def check(self, memory_mb, max_sockets):
        """Asserts that the process lives and stayed inside its machine."""
        figures = (
            f"{self.peak_bytes / MB:.0f} MB, in the kernel up to "
            f"{self.peak_kernel_bytes / MB:.0f} MB, {self.peak_sockets} sockets"
        )
        print(f"{self.machine.name}: {figures}")
        assert self.machine.process.returncode is None
        assert self.peak_bytes <= memory_mb * MB, figures
        assert self.peak_sockets <= max_sockets, figures


class Flood(machines.StubServer):
    """An upstream with replies of a set size, which may stop short.

    Attributes:
        reply_bytes: Size of a reply to a path that begins with /a/large.
        is_short: Whether the last byte of a large reply is held back.
    """

    reply_bytes = 0
    is_short = False

    async def handle(self, request):
        async for _ in request.content.iter_any():
            pass
        response = web.StreamResponse(
            headers={
                "X-Request-Id": request.headers.get("X-Request-Id", ""),
                "X-Reply-Stamp": self.id,
            }
        )
        is_large = request.path.startswith("/a/large")
        left = self.reply_bytes if is_large else 2
        response.content_length = left
        await response.prepare(request)
        while left > 1:
            piece = b"x" * min(PIECE_BYTES, left - 1)
            left -= len(piece)
            await response.write(piece)
        if is_large and self.is_short:
            await asyncio.sleep(HOLD_SECONDS)
        await response.write(b"x")
        return response


async def send(machine, port, pieces, read=True):
    """Sends pieces on a new connection that stays open for a while.

    The other side may refuse or close it at any time.
    """
    with contextlib.suppress(OSError, EOFError, TimeoutError):
        async with asyncio.timeout(CROWD_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(machine.ip, port)
            try:
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                if read:
                    await asyncio.wait_for(reader.read(1), HOLD_SECONDS)
                else:
                    await asyncio.sleep(HOLD_SECONDS)
            finally:
                writer.transport.abort()


def in_pieces(size):
    """Yields `size` bytes in pieces."""
    for start in range(0, size, PIECE_BYTES):
        yield b"x" * min(PIECE_BYTES, size - start)


def in_chunks(size):
    """Yields `size` bytes in HTTP chunks, without the last one."""
    for piece in in_pieces(size):
        yield f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
