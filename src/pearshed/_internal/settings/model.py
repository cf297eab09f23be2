"""Settings of the processes, as checked frozen data."""

import enum
from dataclasses import dataclass

from pearshed._internal.utils.addresses import Address


class LogFormat(enum.StrEnum):
    """How log lines are written."""

    PLAIN = "plain"
    JSON = "json"


class PlacementName(enum.StrEnum):
    """How an entry chooses the sides that it asks for a slot."""

    SAMPLED = "sampled"
    LEAST_LOAD = "least_load"
    ROUND_ROBIN = "round_robin"


class OrderName(enum.StrEnum):
    """How a side orders the requests that wait for a slot."""

    TIERED = "tiered"
    FIFO = "fifo"


@dataclass(frozen=True)
class ProcessSettings:
    """What every process has.

    :ivar name: unique name; for an entry the name of its VM in the platform's list.
    :ivar admin: address for health, metrics and the state dump.
    """

    name: str
    data_centre: str
    admin: Address
    log_format: LogFormat
    log_level: str


@dataclass(frozen=True)
class PlatformSettings:
    """How the platform is read.

    :ivar url: base address of the configuration service and the VM list.
    :ivar watch_s: longest time that a watch waits for a change, seconds.
    :ivar readers: entries of a data centre that read the service for the rest.
    """

    url: str
    watch_s: float
    readers: int


@dataclass(frozen=True)
class PeerSettings:
    """Timing of the connections between processes.

    :ivar heartbeat_s: period of heartbeats on a connection, seconds.
    :ivar silence_s: a connection that carried nothing for this long is replaced, seconds.
    :ivar batch_ms: longest time that a part of an answer waits for company, milliseconds.
    """

    heartbeat_s: float
    silence_s: float
    batch_ms: float


@dataclass(frozen=True)
class TlsFiles:
    """PEM files of one use of TLS.

    :ivar authority: certificates that the other end's must come from; empty towards callers.
    """

    certificate: str
    key: str
    authority: str = ""


@dataclass(frozen=True)
class EntrySettings:
    """Settings of an entry.

    :ivar peer_tls: files for connections to sides, or nothing for plain connections.
    :ivar caller_tls: files for callers' connections, or nothing.
    :ivar listen: address for callers.
    :ivar max_requests: requests in flight at once, over all callers.
    :ivar max_connections: caller connections held open, idle ones included.
    :ivar max_body_bytes: largest body of a call, bytes.
    :ivar read_timeout_s: time in which a caller must have sent its whole request, seconds.
    :ivar write_timeout_s: time in which a caller must take each part of the answer, seconds.
    :ivar subset: side processes that the entry keeps connections to.
    :ivar fanout: sides that one request asks for a slot.
    :ivar protected_fanout: the same for requests of protected tiers.
    :ivar drain_s: time that readiness is off before a stopping entry refuses calls, seconds.
    """

    process: ProcessSettings
    platform: PlatformSettings
    peers: PeerSettings
    peer_tls: TlsFiles | None
    caller_tls: TlsFiles | None
    listen: Address
    max_requests: int
    max_connections: int
    max_body_bytes: int
    read_timeout_s: float
    write_timeout_s: float
    subset: int
    fanout: int
    protected_fanout: int
    drain_s: float
    placement: PlacementName


@dataclass(frozen=True)
class SideSettings:
    """Settings of a side process.

    :ivar peer_tls: files for connections from entries, or nothing for plain connections.
    :ivar endpoint: name of the endpoint's record.
    :ivar listen: address for entries.
    :ivar endpoint_address: address of the endpoint itself.
    :ivar lease_ms: time that a granted slot waits for the request's body, milliseconds.
    :ivar key_retention_s: time that the outcome of an idempotency key is kept, seconds.
    :ivar key_clock_skew_s: how far the clock that made a key may be off, seconds.
    :ivar connect_timeout_s: longest time to connect to the endpoint, seconds.
    :ivar idle_timeout_s: longest silence of the endpoint within an answer, seconds.
    """

    process: ProcessSettings
    platform: PlatformSettings
    peers: PeerSettings
    peer_tls: TlsFiles | None
    endpoint: str
    listen: Address
    endpoint_address: Address
    lease_ms: int
    key_retention_s: float
    key_clock_skew_s: float
    connect_timeout_s: float
    idle_timeout_s: float
    order: OrderName


Settings = EntrySettings | SideSettings
