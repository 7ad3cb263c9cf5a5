"""A link between a stand-in and a machine that can be cut for some time."""

import asyncio


class Link:
    """A proxy on a loopback address.

    While the link is cut, nothing passes. What was sent meanwhile arrives when
    the cut heals: bytes that a partition holds up are lost only if their
    sender resets the connection.
    """

    def __init__(self, ip, target_ip, port):
        self.ip = ip
        self.target_ip = target_ip
        self.port = port
        self.whole = asyncio.Event()
        self.whole.set()
        self.tasks = set()

    async def start(self):
        """Starts to accept connections."""
        self.listener = await asyncio.start_server(
            self.accept, self.ip, self.port
        )

    def cut(self):
        """Lets nothing pass from now on."""
        self.whole.clear()

    def heal(self):
        """Lets everything pass, also what was held up."""
        self.whole.set()

    async def accept(self, reader, writer):
        """Connects a connection to the machine."""
        await self.whole.wait()
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target_ip, self.port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self.forward(reader, target_writer),
            self.forward(target_reader, writer),
        )

    async def forward(self, reader, writer):
        """Forwards one direction until its end."""
        try:
            while data := await reader.read(65536):
                await self.whole.wait()
                writer.write(data)
                await writer.drain()
            await self.whole.wait()
        except OSError:
            pass
        finally:
            writer.close()

    def close(self):
        """Accepts no more connections."""
        self.listener.close()
