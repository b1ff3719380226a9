"""Settings of the process that keep its memory small."""

import contextlib
import ctypes
import threading

THREAD_STACK_BYTES = 256 * 1024
# The default of the C library at the start of a process.
MMAP_THRESHOLD_BYTES = 128 * 1024
MAX_HEAPS = 2  # threads run one at a time, so that they don't contend
_M_MMAP_THRESHOLD = -3  # of mallopt(3)
_M_ARENA_MAX = -8


def limit() -> None:
    """Limits thread stacks, and what the allocator keeps of freed memory.

    It is called once, before the first thread is started.

    The GNU C library raises its threshold for mappings whenever a larger block
    is freed. After one large response, further ones come from the heaps of the
    threads, each of which keeps its size. A threshold that was set stays, and
    threads share the heaps.
    """
    threading.stack_size(THREAD_STACK_BYTES)
    # Other C libraries have no such threshold.
    with contextlib.suppress(AttributeError, OSError):
        mallopt = ctypes.CDLL(None).mallopt
        mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        mallopt(_M_ARENA_MAX, MAX_HEAPS)
