"""Counts and logs of the calls between processes."""

from pollenseam import events
from pollenseam import metrics

# Size above which a response is logged.
LARGE_RESPONSE_BYTES = 32 * 1024


class Traffic:
    """Counts of the bytes and calls exchanged with other processes.

    Attributes:
        sent_bytes: Bytes of messages sent, without framing.
        received_bytes: Bytes of messages received, without framing.
        calls: Calls made, plus messages sent in streams.
        outcomes: Unary calls, by method, side ("client" or "server") and
            outcome: "ok" or a gRPC status.
        bytes: Bytes of messages, by method and direction.
        latencies: Time from the request to the response or failure, at the
            client, by method.
    """

    __slots__ = (
        "sent_bytes",
        "received_bytes",
        "calls",
        "outcomes",
        "bytes",
        "latencies",
    )

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0
        self.calls = 0
        self.outcomes = metrics.Counter(
            "peer_calls_total", "method", "side", "outcome"
        )
        self.bytes = metrics.Counter("peer_bytes_total", "method", "direction")
        self.latencies = metrics.Summary("peer_call_seconds", "method")

    def record_sent(self, method: str, size: int) -> None:
        """Counts a message of `size` bytes that was sent."""
        self.sent_bytes += size
        self.bytes.add(method, "sent", amount=size)

    def record_received(self, method: str, size: int) -> None:
        """Counts a message of `size` bytes that was received."""
        self.received_bytes += size
        self.bytes.add(method, "received", amount=size)

    def expose(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        parts = (self.outcomes, self.bytes, self.latencies)
        return metrics.format_exposition({}, parts)


def log_large(
    log: events.EventLog | None,
    method: str,
    side: str,
    peer: str,
    size: int,
    seconds: float,
) -> None:
    """Logs a response above LARGE_RESPONSE_BYTES.

    Args:
        log: Event log, or None.
        method: Method of the call.
        side: "client" or "server".
        peer: Address of the other side.
        size: Bytes of the response.
        seconds: Time since the request was sent (client) or received (server).
    """
    if log is not None and size > LARGE_RESPONSE_BYTES:
        log.emit_often(
            "large-response",
            method=method,
            side=side,
            peer=peer,
            bytes=size,
            seconds=seconds,
        )
