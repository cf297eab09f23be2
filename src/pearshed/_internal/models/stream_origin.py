"""What began a stream: a service and the software version of one of its engines."""

import dataclasses
from dataclasses import dataclass

from pearshed._internal.models.routing import EndpointEntry, run_id

#: Precedes the id of a run, which is no version then.
_RUN_PREFIX = "run:"


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What began a stream.

    :ivar version: software version of the engine; an engine that names none is a version by itself
        until it restarts.
    """

    service: str
    version: str

    @classmethod
    def of(cls, entry: EndpointEntry, started_at_ms: int = 0) -> "StreamOrigin":
        """Return the origin of the streams that an engine begins.

        :param started_at_ms: start of the engine as its side knows it; 0 if not known. The version
            of a run that the entry doesn't describe yet is not known.
        """
        if started_at_ms and started_at_ms != entry.started_at_ms:
            run = dataclasses.replace(entry, started_at_ms=started_at_ms)
            return cls(entry.service, _RUN_PREFIX + run_id(run))
        return cls(entry.service, entry.software_version or _RUN_PREFIX + run_id(entry))
