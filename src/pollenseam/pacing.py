"""Pacing of requests to upstreams that accept a limited rate from all VMs.

The rate is divided between a few entry VMs, the senders of the upstream. Every
VM computes the same order of all VMs for an upstream; the first are its
senders.
"""

from pollenseam import hashing

# Number of senders of an upstream. Kept small because each of them may send a
# request at the same moment.
MAX_SENDERS = 3
# Time for which unused tokens are kept, beyond one.
BURST_SECONDS = 0.5
# If no response of an upstream was read for this time, as its senders may have
# no requests for it, the next VM of the order sends one as well; after each
# PROBE_STEP_SECONDS more, one more VM.
PROBE_AFTER_SECONDS = 12.0
PROBE_STEP_SECONDS = 1.0
# Rate that senders assume if less is accepted, from all VMs together. Without
# responses, they would not learn that more is accepted again.
MIN_RATE = 0.3
SPARE_HASH = hashing.hash64("spare")


class Pacer:
    """Token bucket of one VM for one upstream.

    The bucket holds one token and those of BURST_SECONDS. Requests of lower
    priorities leave a part of the latter to those of higher priorities.

    Attributes:
        rate: Requests per second that this VM may send; None for no limit.
        tokens: Requests that this VM may send at `filled_at`.
        filled_at: Time of the last refill in seconds.
    """

    __slots__ = ("rate", "tokens", "filled_at")

    def __init__(self, now: float) -> None:
        self.rate: float | None = None
        self.tokens = 1.0
        self.filled_at = now

    def set_rate(self, rate: float | None, now: float) -> None:
        """Changes the rate; tokens of the time before remain."""
        if rate != self.rate:
            self._fill(now)
            self.rate = rate

    def admits(self, reserve_ratio: float, now: float) -> bool:
        """Returns whether this VM may send a request now.

        Args:
            reserve_ratio: Part (0 to 1) of the tokens beyond the first that
                must be left to requests of higher priorities.
            now: Time in seconds.
        """
        if self.rate is None:
            return True
        self._fill(now)
        return self.rate > 0 and self.tokens >= self._needed(reserve_ratio)

    def take(self) -> None:
        """Takes a token for a request that is sent."""
        if self.rate is not None:
            self.tokens -= 1.0

    def wait_seconds(self, reserve_ratio: float, now: float) -> float | None:
        """Returns the time until a request may be sent; None if never.

        Args:
            reserve_ratio: See `admits`.
            now: Time in seconds.
        """
        if self.admits(reserve_ratio, now):
            return 0.0
        if not self.rate:
            return None
        return (self._needed(reserve_ratio) - self.tokens) / self.rate

    def _needed(self, reserve_ratio: float) -> float:
        return 1.0 + reserve_ratio * (self._max_tokens - 1.0)

    @property
    def _max_tokens(self) -> float:
        return 1.0 + BURST_SECONDS * (self.rate or 0.0)

    def _fill(self, now: float) -> None:
        if self.rate is not None:
            refill = (now - self.filled_at) * self.rate
            self.tokens = min(self._max_tokens, self.tokens + refill)
        self.filled_at = now


class Fleet:
    """The entry VMs that share the rates of upstreams, as one of them sees it.

    Attributes:
        name: Name of this VM.
        regions: Region of each entry VM, by name.
        room_ratios: Share of the slots divided by share of the demand, of each
            region. Regions below 1 depend on upstreams of other regions.
        hashes: Hash of each VM's name.
    """

    __slots__ = ("name", "regions", "room_ratios", "hashes")

    def __init__(
        self,
        name: str,
        regions: dict[str, str],
        room_ratios: dict[str, float],
    ) -> None:
        self.name = name
        self.regions = regions
        self.room_ratios = room_ratios
        self.hashes = {vm: hashing.hash64(vm) for vm in regions}

    def own_rank(self, region: str, upstream_hash: int) -> int:
        """Returns the position of this VM in the order for an upstream.

        The VMs of the upstream's region come first, but where a region has
        more room than demand, the VMs of regions that have too little come
        first for the part of its upstreams that it can spare.

        Args:
            region: Region of the upstream.
            upstream_hash: Hash of the upstream's id.
        """
        position = hashing.mix(upstream_hash, SPARE_HASH) / hashing.MASK_64
        is_spare = position * self.room_ratios.get(region, 1.0) > 1.0
        keys = {
            vm: (self._distance(vm, region, is_spare), mixed)
            for vm, mixed in self._mixed_hashes(upstream_hash).items()
        }
        if self.name not in keys:
            # A VM that is not in the directory yet comes last.
            return len(keys)
        return sum(key < keys[self.name] for key in keys.values())

    def _mixed_hashes(self, upstream_hash: int) -> dict[str, int]:
        return {
            vm: hashing.mix(hash64, upstream_hash)
            for vm, hash64 in self.hashes.items()
        }

    def _distance(self, vm: str, region: str, is_spare: bool) -> int:
        vm_region = self.regions[vm]
        if is_spare and self.room_ratios.get(vm_region, 1.0) < 1.0:
            return 0
        return 1 if vm_region == region else 2

    def own_rate(
        self, rank: int, accepted_rate: float, silent_seconds: float
    ) -> float:
        """Returns the requests per second that this VM may send.

        Args:
            rank: Position of this VM in the order for the upstream.
            accepted_rate: Rate that the upstream accepts from all VMs.
            silent_seconds: Time since any VM read a response of the upstream.
        """
        senders = max(1, min(MAX_SENDERS, len(self.regions)))
        rate = max(MIN_RATE, accepted_rate)
        if rank < senders:
            return rate / senders
        turn = rank - senders
        probe_after = PROBE_AFTER_SECONDS + turn * PROBE_STEP_SECONDS
        return MIN_RATE / senders if silent_seconds > probe_after else 0.0
