"""Memory that an entry VM uses for replies that it is still receiving."""

import aiohttp

MAX_TOTAL_BYTES = 64 * 1024 * 1024


class ReplyBuffers:
    """Bodies of replies that are being received.

    One body may grow as long as it is not larger than the rest of the memory
    that all of them may use. A single body may so use half of it. Many large
    ones leave room for the small ones among them.

    Attributes:
        max_total_bytes: Memory for all bodies together.
        total_bytes: Memory in use.
    """

    __slots__ = ("max_total_bytes", "total_bytes")

    def __init__(self, max_total_bytes: int = MAX_TOTAL_BYTES) -> None:
        self.max_total_bytes = max_total_bytes
        self.total_bytes = 0

    async def read(self, response: aiohttp.ClientResponse) -> bytearray:
        """Returns a response's complete body.

        Raises:
            ValueError: The body is larger than the memory that is left.
        """
        body = bytearray()
        try:
            async for chunk in response.content.iter_any():
                body += chunk
                self.total_bytes += len(chunk)
                if len(body) > self.max_total_bytes - self.total_bytes:
                    raise ValueError(
                        f"the response has more than {len(body)} bytes; "
                        f"{self.total_bytes} are in use for all replies"
                    )
        finally:
            self.total_bytes -= len(body)
        return body
