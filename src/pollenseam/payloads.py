"""Bodies that are written in pieces, as fast as the other side reads."""

from collections.abc import Callable

from aiohttp import abc
from aiohttp import payload

PIECE_BYTES = 64 * 1024

# Called with the bytes that are held still, and those just written.
Record = Callable[[int, int], None]


class PiecewisePayload(payload.BytesPayload):
    """A body of which no more than a piece waits in the connection."""

    def __init__(self, body: bytes, record: Record | None = None) -> None:
        super().__init__(memoryview(body))
        self.record = record

    async def write_with_length(
        self, writer: abc.AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Writes the body, or its first `content_length` bytes."""
        view = memoryview(self._value)[:content_length]
        record = self.record or _ignore
        record(len(view), 0)
        try:
            for start in range(0, len(view), PIECE_BYTES):
                await writer.write(view[start : start + PIECE_BYTES])
                await writer.drain()
                record(len(view), PIECE_BYTES)
        finally:
            record(0, 0)

    async def write(self, writer: abc.AbstractStreamWriter) -> None:
        """Writes the body."""
        await self.write_with_length(writer, None)


def _ignore(held_bytes: int, size: int) -> None:
    """Records nothing."""


def create(
    body: bytes, record: Record | None = None
) -> bytes | PiecewisePayload:
    """Returns a body for aiohttp to write.

    Args:
        body: The body.
        record: Called while it is written, if given.
    """
    if len(body) <= PIECE_BYTES:
        return body
    return PiecewisePayload(body, record)
