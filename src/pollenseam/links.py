"""How busy the network link of a VM is with bodies; does no I/O."""

# The longest wait that is assumed in a direction: bodies share a link with what
# follows them, and an upstream may state any length.
MAX_WAIT_SECONDS = 1.0


class Link:
    """The network link of an entry VM.

    Bodies on their way hold up the packets behind them, also those that open a
    connection. Somebody who does not answer in time then need not be out of
    reach.

    Attributes:
        bytes_per_second: Rate in each direction; 0 if it is not limited.
        receiving_until: Time in seconds at which all bodies that are being
            received should have arrived.
        sending_until: The same for bodies that are being sent.
    """

    __slots__ = ("bytes_per_second", "receiving_until", "sending_until")

    def __init__(self, bytes_per_second: float = 0.0) -> None:
        self.bytes_per_second = bytes_per_second
        self.receiving_until = 0.0
        self.sending_until = 0.0

    def receive(self, byte_count: int, now: float) -> None:
        """Records that a body of `byte_count` bytes begins to arrive."""
        self.receiving_until = self._busy_until(
            self.receiving_until, byte_count, now
        )

    def send(self, byte_count: int, now: float) -> None:
        """Records that a body of `byte_count` bytes is sent."""
        self.sending_until = self._busy_until(
            self.sending_until, byte_count, now
        )

    def wait_seconds(self, now: float) -> float:
        """Returns how much longer than usual a short exchange may take."""
        receiving_seconds = max(0.0, self.receiving_until - now)
        sending_seconds = max(0.0, self.sending_until - now)
        return min(receiving_seconds + sending_seconds, MAX_WAIT_SECONDS)

    def _busy_until(self, until: float, byte_count: int, now: float) -> float:
        if self.bytes_per_second <= 0:
            return until
        until = max(until, now) + byte_count / self.bytes_per_second
        return min(until, now + MAX_WAIT_SECONDS)
