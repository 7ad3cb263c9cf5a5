"""The options of an entry VM, of all its parts."""

from pollenseam import demands
from pollenseam import hedging
from pollenseam import intake
from pollenseam import options
from pollenseam import rankorder
from pollenseam import upstreambytes

HELD_MEMORY_SHARE = options.Option(
    "held_memory_share",
    intake.HELD_SHARE,
    0.1,
    0.9,
    "part of the machine's memory",
    "how much is held for callers, bodies and replies together",
)
CALLER_CONNECTION_SHARE = options.Option(
    "caller_connection_share",
    intake.CONNECTION_SHARE,
    0.1,
    0.9,
    "part of the descriptors that are not kept for files",
    "how many connections of callers are kept",
)
UPSTREAM_BODY_BYTES = options.Option(
    "upstream_body_bytes",
    upstreambytes.DEFAULT_MAX_BYTES,
    64 * 1024,
    1e12,
    "bytes",
    "how much of request bodies is in flight to one upstream",
)

ALL: tuple[options.Option, ...] = (
    HELD_MEMORY_SHARE,
    CALLER_CONNECTION_SHARE,
    hedging.RATIO,
    demands.SHARING_VMS,
    rankorder.STRENGTH,
    rankorder.FLOOR,
    UPSTREAM_BODY_BYTES,
)
