"""Hashes that are the same on every VM."""

import hashlib

MASK_64 = 2**64 - 1


def hash64(name: str) -> int:
    """Returns a 64-bit hash of a name."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def mix(key: int, other: int) -> int:
    """Mixes two 64-bit hashes into one (the finalizer of splitmix64)."""
    mixed = (key ^ other) & MASK_64
    mixed = ((mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    mixed = ((mixed ^ (mixed >> 27)) * 0x94D049BB133111EB) & MASK_64
    return mixed ^ (mixed >> 31)
