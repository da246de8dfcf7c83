"""Settings of the C library's allocator."""

import contextlib

M_MMAP_THRESHOLD = -3
LARGE_BYTES = 131_072
"""Size from which a buffer has pages of its own, as in a process that has just started."""


def keep_large_buffers_apart() -> None:
    """Have large buffers give back their pages as soon as they are freed.

    Otherwise the C library raises the size of a large buffer with each one that is
    freed, and the gaps that later ones leave stay resident. Other libraries have no such
    setting.
    """
    # Loaded here, since it takes some milliseconds of a start.
    import ctypes

    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, LARGE_BYTES)
