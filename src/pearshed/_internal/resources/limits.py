"""What a process may use of its machine, and the parts of it that callers may make it hold."""

import os
import resource
from dataclasses import dataclass

from pearshed._internal.decisions.ending_order import Room

_MB = 1024 * 1024
#: Memory of the program with its libraries and tables, bytes.
PROGRAM_BYTES = 48 * _MB
#: Of the rest, the share that callers may fill; freed memory between what is held, and copies that
#: last for one step, take another part.
_CALLERS_SHARE = 0.5
#: Part of callers' memory that the connections for pages may fill.
_PAGES_SHARE = 0.1
_LEAST_CALLERS_BYTES = 4 * _MB
#: Descriptors that sockets don't get: files, and what the runtime opens.
_FILE_DESCRIPTORS = 200
#: Sockets of the process itself: listeners, the store, other processes and the log.
_OWN_SOCKETS = 64
#: Connections that are accepted before others are ended for them.
_ACCEPT_SLACK = 96
PAGE_CONNECTIONS = 64
_LEAST_CONNECTIONS = 16


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Memory and descriptors of a process.

    :ivar memory_bytes: resident memory, bytes.
    :ivar descriptors: open descriptors.
    """

    memory_bytes: int
    descriptors: int

    @classmethod
    def of_machine(
        cls, memory_mb: float | None = None, descriptors: int | None = None
    ) -> "MachineLimits":
        """Return the limits of this machine, or lower ones.

        :param memory_mb: megabytes; ``None`` for all of the machine's.
        :param descriptors: ``None`` for all that the kernel grants.
        """
        machine_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        machine_descriptors = soft if soft != resource.RLIM_INFINITY else _MB
        return cls(
            min(machine_bytes, int(memory_mb * _MB)) if memory_mb else machine_bytes,
            min(machine_descriptors, descriptors) if descriptors else machine_descriptors,
        )

    @property
    def callers(self) -> Room:
        """Room for callers' connections; each request takes a connection to an endpoint too."""
        return Room(self._callers_bytes, max(_LEAST_CONNECTIONS, self._free_sockets // 2))

    @property
    def entry_callers(self) -> Room:
        """Room for the connections of an entry's callers; its links to sides are shared."""
        return Room(self._callers_bytes, max(_LEAST_CONNECTIONS, self._free_sockets))

    @property
    def pages(self) -> Room:
        """Room for the connections of operators, of the load balancer and of other processes."""
        return Room(
            max(_LEAST_CALLERS_BYTES // 2, int(self._held_bytes * _PAGES_SHARE)), PAGE_CONNECTIONS
        )

    @property
    def peers(self) -> Room:
        """Room for the connections of entries to a side."""
        return self.entry_callers

    @property
    def _free_sockets(self) -> int:
        reserved = _FILE_DESCRIPTORS + _OWN_SOCKETS + _ACCEPT_SLACK + PAGE_CONNECTIONS
        return self.descriptors - reserved

    @property
    def _callers_bytes(self) -> int:
        return max(_LEAST_CALLERS_BYTES, int(self._held_bytes * (1 - _PAGES_SHARE)))

    @property
    def _held_bytes(self) -> float:
        return max(0, self.memory_bytes - PROGRAM_BYTES) * _CALLERS_SHARE
