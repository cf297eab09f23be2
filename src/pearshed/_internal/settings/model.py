"""Validated settings of entries and sides."""

import enum
from dataclasses import dataclass, field

from pearshed._internal.resources.limits import MachineLimits
from pearshed._internal.utils.addresses import Address


class LogFormat(enum.StrEnum):
    """Format of log lines."""

    PLAIN = "plain"
    JSON = "json"


class PlacementName(enum.StrEnum):
    """How an entry chooses the sides that it sends a reservation to."""

    SAMPLED = "sampled"
    LEAST_LOAD = "least_load"
    ROUND_ROBIN = "round_robin"


class OrderName(enum.StrEnum):
    """How a side orders its queue of requests for a slot."""

    TIERED = "tiered"
    FIFO = "fifo"


@dataclass(frozen=True)
class ProcessSettings:
    """Settings that every process has.

    :ivar name: unique name; for an entry, the name of its VM in the platform's VM list.
    :ivar admin: address of the health, metrics and state dump pages.
    :ivar machine: memory and descriptors of the process.
    """

    name: str
    data_centre: str
    admin: Address
    log_format: LogFormat
    log_level: str
    machine: MachineLimits = field(default_factory=MachineLimits.of_machine)


@dataclass(frozen=True)
class PlatformSettings:
    """How configuration and the VM list are read from the platform.

    :ivar url: base address of the configuration service and the VM list.
    :ivar watch_s: longest time that a long poll waits for a change, seconds.
    :ivar readers: entries per data centre that read the platform and relay to the others.
    """

    url: str
    watch_s: float
    readers: int


@dataclass(frozen=True)
class PeerSettings:
    """Timing of the connections between processes.

    :ivar heartbeat_s: interval of heartbeats on a connection, seconds.
    :ivar silence_s: time without data after which a connection is replaced, seconds.
    :ivar batch_ms: longest delay of a response chunk to batch it with others, milliseconds.
    """

    heartbeat_s: float
    silence_s: float
    batch_ms: float


@dataclass(frozen=True)
class TlsFiles:
    """PEM files of one use of TLS.

    :ivar authority: CA certificates that verify the peer; empty for callers' connections.
    """

    certificate: str
    key: str
    authority: str = ""


@dataclass(frozen=True)
class EntrySettings:
    """Settings of an entry.

    :ivar peer_tls: files for connections to sides; None for plaintext.
    :ivar caller_tls: files for callers' connections; None for plaintext.
    :ivar listen: address that callers connect to.
    :ivar max_requests: maximum requests in flight, over all callers.
    :ivar max_connections: maximum open connections of callers, including idle ones.
    :ivar max_body_bytes: maximum size of a request body, bytes.
    :ivar read_timeout_s: timeout for receiving a complete request from a caller, seconds.
    :ivar write_timeout_s: timeout for sending each chunk of a response to a caller, seconds.
    :ivar subset: number of sides that the entry keeps connections to.
    :ivar fanout: number of sides that a request sends reservations to.
    :ivar protected_fanout: the same for requests of protected tiers.
    :ivar drain_s: time for which a stopping entry is unready before it refuses calls, seconds.
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

    :ivar peer_tls: files for connections from entries; None for plaintext.
    :ivar endpoint: name of the endpoint's record.
    :ivar listen: address that entries connect to.
    :ivar endpoint_address: address of the endpoint itself.
    :ivar lease_ms: time in which the request's body must follow a grant, milliseconds.
    :ivar key_retention_s: retention time of an idempotency key's outcome, seconds.
    :ivar key_clock_skew_s: maximum skew of the clock that timestamped a key, seconds.
    :ivar connect_timeout_s: timeout for connecting to the endpoint, seconds.
    :ivar idle_timeout_s: longest time without data from the endpoint in a response, seconds.
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
