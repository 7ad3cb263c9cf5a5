"""Which HTTP status codes an answer may have (RFC 9110, section 15)."""

LOWEST = 100
LOWEST_FINAL = 200
HIGHEST = 599
SWITCHING_PROTOCOLS = 101


def is_final(status: int) -> bool:
    """Returns whether a status may end a request."""
    return LOWEST_FINAL <= status <= HIGHEST


def is_interim(status: int) -> bool:
    """Returns whether a status may precede a final one.

    101 is none: it would end HTTP on a connection, which no request asks for.
    """
    return LOWEST <= status < LOWEST_FINAL and status != SWITCHING_PROTOCOLS
