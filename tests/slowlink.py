"""A loopback TCP proxy with a limited bandwidth."""

import asyncio
import contextlib

CHUNK_BYTES = 4096


class SlowLink:
    """Forwards connections to a target, all replies at one common rate.

    Attributes:
        target: IP:PORT to forward to.
        bytes_per_second: Rate of the bytes from the target to the callers, of
            all connections together.
        address: IP:PORT of the proxy.
        accepted: Number of connections accepted.
        has_to_break_after: Bytes after which each connection is broken; 0
            means never.
    """

    def __init__(self, target, bytes_per_second):
        self.target = target
        self.bytes_per_second = bytes_per_second
        self.address = ""
        self.accepted = 0
        self.has_to_break_after = 0
        self._link = asyncio.Lock()
        self._tasks = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self.accepted += 1
        host, _, port = self.target.rpartition(":")
        # The event loop logs a task of a server that ends as cancelled.
        with contextlib.suppress(OSError, asyncio.CancelledError):
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._forward(reader, target_writer))
                    group.create_task(self._throttle(target_reader, writer))
            except* OSError:
                pass
            finally:
                target_writer.close()
        writer.close()

    async def _forward(self, reader, writer):
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
        writer.write_eof()

    async def _throttle(self, reader, writer):
        sent = 0
        while data := await reader.read(CHUNK_BYTES):
            async with self._link:
                await asyncio.sleep(len(data) / self.bytes_per_second)
            writer.write(data)
            await writer.drain()
            sent += len(data)
            if 0 < self.has_to_break_after < sent:
                raise ConnectionResetError("broken on purpose")
        writer.write_eof()
