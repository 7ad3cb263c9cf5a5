"""Memory that an entry VM uses for replies that it is still receiving."""

import io

from pollenseam import budgets
from pollenseam import exchanges
from pollenseam import intake

MAX_TOTAL_BYTES = 64 * 1024 * 1024


class ReplyBuffers:
    """Bodies of replies that are being received.

    One body may grow as long as it is not larger than the rest of the memory
    that all of them may use. A single body may so use half of it. Many large
    ones leave room for the small ones among them.

    Attributes:
        max_total_bytes: Memory for all bodies together.
        total_bytes: Memory in use.
        intake: Bounds all that the process holds for callers, or None.
    """

    __slots__ = ("max_total_bytes", "total_bytes", "intake")

    def __init__(self, max_total_bytes: int = MAX_TOTAL_BYTES) -> None:
        self.max_total_bytes = max_total_bytes
        self.total_bytes = 0
        self.intake: intake.Intake | None = None

    async def read(self, response: exchanges.Response) -> bytes:
        """Returns a response's complete body.

        Raises:
            ValueError: The body is larger than the memory that is left.
        """
        # Its value is taken over without a copy.
        with io.BytesIO() as body:
            try:
                await self._receive(response, body)
            finally:
                self._count(-body.tell())
            return body.getvalue()

    async def _receive(
        self, response: exchanges.Response, body: io.BytesIO
    ) -> None:
        async for chunk in response.content.iter_any():
            self._count(body.write(chunk))
            size = body.tell()
            if size > self.max_total_bytes - self.total_bytes or (
                size > budgets.SMALL_BYTES and not self._has_room()
            ):
                raise ValueError(
                    f"the response has more than {size} bytes; "
                    f"{self.total_bytes} are in use for all replies"
                )

    def share(self, process_intake: intake.Intake) -> None:
        """Counts the bodies with all that the process holds for callers."""
        self.intake = process_intake
        self.max_total_bytes = min(
            self.max_total_bytes, process_intake.budget.max_bytes
        )

    def _count(self, change: int) -> None:
        self.total_bytes += change
        if self.intake is not None:
            self.intake.add_reply(change)

    def _has_room(self) -> bool:
        return self.intake is None or self.intake.has_room()
