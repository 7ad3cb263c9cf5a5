"""Settings of the C library's allocator."""

import ctypes

# Option of mallopt(3), and the size from which blocks are given back to the
# kernel as soon as they are freed. Left alone, glibc raises that size to
# 32 MiB, and the heap keeps the holes that freed bodies leave. Buffers of
# asyncio's reads, 256 KiB, stay below it.
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 1024 * 1024


def return_large_blocks() -> bool:
    """Makes freed blocks of large bodies leave the process at once.

    Returns:
        Whether the C library knows this setting.
    """
    try:
        set_option = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(set_option(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
