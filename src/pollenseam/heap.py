"""Settings of the C library's allocator."""

import ctypes

# Options of mallopt(3). From the first size on, blocks are given back to the
# kernel as soon as they are freed. Left alone, glibc raises it to 32 MiB, and
# the heap keeps the holes that freed bodies leave. Buffers of asyncio's reads,
# 256 KiB, stay below it; the second is the free memory at the heap's end that
# is kept, so that a read doesn't grow and shrink the heap each time.
M_MMAP_THRESHOLD = -3
M_TRIM_THRESHOLD = -1
MMAP_THRESHOLD_BYTES = 1024 * 1024
TRIM_THRESHOLD_BYTES = 2 * 1024 * 1024
# Heaps. Left alone, each thread of gRPC has one, which keeps holes of its own.
M_ARENA_MAX = -8
MAX_ARENAS = 1


def bound_free_memory() -> bool:
    """Bounds the memory that the process keeps after it was freed.

    Has to be called before the first thread starts.

    Returns:
        Whether the C library knows these settings.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(
        set_option(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        and set_option(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
        and set_option(M_ARENA_MAX, MAX_ARENAS)
    )
