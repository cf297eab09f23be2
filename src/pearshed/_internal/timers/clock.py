"""Clocks that leases and deadlines are measured on."""

import time

MILLISECONDS_PER_SECOND = 1000.0


def now() -> float:
    """Read the seconds since boot, counting the time that the VM was suspended.

    ``time.monotonic`` stands still while a VM is suspended, so a lease measured on it
    would outlive its term.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Read the wall clock, milliseconds since 1970."""
    return time.time_ns() // 1_000_000
