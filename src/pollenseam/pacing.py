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
# Odd, so that no two VMs get the same key.
ORDER_FACTOR = 0x9E3779B97F4A7C15
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


class Vms:
    """The entry VMs that share the rates of upstreams, of all services.

    Attributes:
        regions: Region of each entry VM, by name.
        hashes: Hashes of the VMs' names, by region.
    """

    __slots__ = ("regions", "hashes")

    def __init__(self, regions: dict[str, str]) -> None:
        self.regions = regions
        self.hashes: dict[str, list[int]] = {}
        for name, region in regions.items():
            self.hashes.setdefault(region, []).append(hashing.hash64(name))


class Fleet:
    """The entry VMs and the room of one service, as one of them sees it.

    Attributes:
        name: Name of this VM.
        vms: The entry VMs.
        room_ratios: Share of the slots divided by share of the demand, of each
            region. Regions below 1 depend on upstreams of other regions.
        own_hash: Hash of this VM's name; None if it is not among the VMs, as
            the directory does not have it yet.
    """

    __slots__ = ("name", "vms", "room_ratios", "own_hash")

    def __init__(
        self, name: str, vms: Vms, room_ratios: dict[str, float]
    ) -> None:
        self.name = name
        self.vms = vms
        self.room_ratios = room_ratios
        self.own_hash = hashing.hash64(name) if name in vms.regions else None

    def own_rank(self, region: str, upstream_hash: int) -> int:
        """Returns the position of this VM in the order for an upstream.

        The VMs of the upstream's region come first, but where a region has
        more room than demand, the VMs of regions that have too little come
        first for the part of its upstreams that it can spare.

        Args:
            region: Region of the upstream.
            upstream_hash: Hash of the upstream's id.
        """
        if self.own_hash is None:
            return len(self.vms.regions)
        position = hashing.mix(upstream_hash, SPARE_HASH) / hashing.MASK_64
        is_spare = position * self.room_ratios.get(region, 1.0) > 1.0
        own_region = self.vms.regions[self.name]
        own_distance = self._distance(own_region, region, is_spare)
        own_order = _order(self.own_hash, upstream_hash)
        rank = 0
        for vm_region, hashes in self.vms.hashes.items():
            distance = self._distance(vm_region, region, is_spare)
            if distance < own_distance:
                rank += len(hashes)
            elif distance == own_distance:
                rank += sum(
                    _order(vm_hash, upstream_hash) < own_order
                    for vm_hash in hashes
                )
        return rank

    def _distance(self, vm_region: str, region: str, is_spare: bool) -> int:
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
        senders = max(1, min(MAX_SENDERS, len(self.vms.regions)))
        rate = max(MIN_RATE, accepted_rate)
        if rank < senders:
            return rate / senders
        turn = rank - senders
        probe_after = PROBE_AFTER_SECONDS + turn * PROBE_STEP_SECONDS
        return MIN_RATE / senders if silent_seconds > probe_after else 0.0


def _order(vm_hash: int, upstream_hash: int) -> int:
    """Returns the key by which equally distant VMs are ordered."""
    return (vm_hash ^ upstream_hash) * ORDER_FACTOR & hashing.MASK_64
