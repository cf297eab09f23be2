"""Clocks for leases and deadlines."""

import time

MILLISECONDS_PER_SECOND = 1000.0


def now() -> float:
    """Return the seconds since boot, including time while the VM was suspended.

    ``time.monotonic`` stops while a VM is suspended, so a lease measured with it would
    expire too late.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the wall clock time, milliseconds since 1970."""
    return time.time_ns() // 1_000_000
