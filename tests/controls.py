"""A control VM in the test's event loop, and the HTTP API of its program."""

import asyncio
import contextlib
import io
import time

import controlapi
import entries

from pollenseam import controlvm
from pollenseam import events
from pollenseam import httpserver
from pollenseam import peers
from pollenseam.standins import fleet


class Control:
    """A control VM that is the only replica of its quorum."""

    def __init__(self, folder):
        self.address = f"127.0.0.1:{fleet.free_port()}"
        self.port = fleet.free_port()
        self.output = io.StringIO()
        log = events.open_log("c1", stream=self.output)
        settings = controlvm.Settings(
            "c1",
            "r1",
            "z1",
            self.address,
            [self.address],
            folder,
            True,
            1.5,
            entries.TOLERANCE,
        )
        self.vm = controlvm.ControlVm(settings, log, peers.Client(log.clock))
        self.api = controlapi.ControlApi(self.vm, {"z1": "r1"})
        self.server = httpserver.HttpServer(self.api.handle, 15.0, 16384, 128)

    async def call(self, call, of="", body=b""):
        """Sends one call; returns the status and the body of the answer.

        Args:
            call: Name of the call.
            of: What the call concerns, as it stands in the target.
            body: Body of the request.
        """
        target = b"/v1/rpc?call=%s&of=%s" % (_bytes(call), _bytes(of))
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"POST " + target + b" HTTP/1.1\r\nHost: c\r\n")
        writer.write(b"Connection: close\r\n")
        writer.write(b"Content-Length: %d\r\n\r\n" % len(body) + _bytes(body))
        async with asyncio.timeout(10.0):
            head, _, answer = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1]), answer

    def lines(self, event):
        """Returns how many lines of an event the log has."""
        return self.output.getvalue().count(f"event={event} ")

    async def call_until_decided(self, call, of, body, attempts=5):
        """Calls again as long as the answer is 503, as callers do."""
        status, answer = await self.call(call, of, body)
        if status == 503 and attempts > 1:
            return await self.call_until_decided(call, of, body, attempts - 1)
        return status, answer


def _bytes(text):
    return text.encode() if isinstance(text, str) else text


@contextlib.asynccontextmanager
async def running(folder):
    """Yields a control VM that leads its quorum and serves its API."""
    control = Control(folder)
    await control.vm.start()
    await control.server.listen("127.0.0.1", control.port)
    deadline = time.monotonic() + 10.0
    while not control.vm.replica_runner.is_leader:
        assert time.monotonic() < deadline, "no leader"
        await asyncio.sleep(0.01)
    try:
        yield control
    finally:
        await control.server.close(0.0)
        await control.vm.stop()
