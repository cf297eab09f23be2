"""The users' sites and their traffic, scaled so that one machine can run them."""

from dataclasses import dataclass

from tests.lib import records
from tests.lib.records import Document

SLOTS_PER_ENDPOINT = 4
TOKEN_INTERVAL_MS = 30.0
FIRST_TOKEN_MS = 20.0
PLAIN_SERVICE_MS = 120.0


@dataclass(frozen=True)
class Traffic:
    """Calls of one class.

    :ivar share: share of the offered calls.
    :ivar target_ms: maximum time to the first byte of a response that counts as in time.
    :ivar output_tokens: minimum and maximum tokens of a response; (0, 0) for a plain service.
    """

    class_name: str
    tier: str
    service: str
    share: float
    target_ms: int
    max_wait_ms: int
    output_tokens: tuple[int, int] = (0, 0)
    idempotent: bool = True

    @property
    def is_plain(self) -> bool:
        """Whether the service is a plain service rather than an engine."""
        return self.output_tokens == (0, 0)

    @property
    def mean_service_s(self) -> float:
        """Mean time that a call occupies a slot of an idle endpoint."""
        if self.is_plain:
            return PLAIN_SERVICE_MS / 1000
        return (FIRST_TOKEN_MS + TOKEN_INTERVAL_MS * sum(self.output_tokens) / 2) / 1000


@dataclass(frozen=True)
class Site:
    """A user's endpoints, data centres and traffic.

    :ivar endpoint_counts: number of endpoints of each service.
    :ivar tier_shares: capacity shares of the standard and background tiers.
    """

    name: str
    data_centres: tuple[str, ...]
    endpoint_counts: dict[str, int]
    traffic: tuple[Traffic, ...]
    tier_shares: tuple[float, float]
    customers: int = 10

    def capacity_per_s(self) -> float:
        """Return the call rate at which the most loaded service uses all its slots."""
        rates = []
        for service, endpoints in self.endpoint_counts.items():
            mean_work_s = sum(
                item.share * item.mean_service_s for item in self.traffic if item.service == service
            )
            rates.append(endpoints * SLOTS_PER_ENDPOINT / mean_work_s)
        return min(rates)

    def documents(self) -> list[Document]:
        """Return the site's records except its endpoints."""
        documents = [
            records.record("tier", "urgent", rank=0, protected=True),
            records.record("tier", "standard", rank=1, share=self.tier_shares[0]),
            records.record("tier", "background", rank=2, share=self.tier_shares[1]),
        ]
        names = [item.class_name for item in self.traffic]
        for item in self.traffic:
            documents.append(
                records.request_class(
                    item.class_name,
                    item.tier,
                    item.idempotent,
                    first_token_ms=item.target_ms,
                    max_wait_ms=item.max_wait_ms,
                )
            )
        for number in range(self.customers):
            weight = 4.0 if number < 3 else 1.0
            documents.append(
                records.customer(
                    f"customer-{number}", f"key-{number}", names, weight=weight, max_in_flight=2000
                )
            )
        documents.append(records.record("model", "writer", service="writing"))
        return documents


KRONWACHT = Site(
    "kronwacht",
    ("graz-a", "graz-b", "leoben"),
    {"writing": 6, "orders": 3},
    (
        Traffic("notice", "urgent", "writing", 0.20, 320, 5_000, (8, 24)),
        Traffic("order", "urgent", "orders", 0.15, 500, 5_000, idempotent=False),
        Traffic("status", "standard", "orders", 0.35, 500, 1_500),
        Traffic("summary", "background", "writing", 0.30, 2_000, 4_000, (15, 60)),
    ),
    # Kronwacht values attainment of notices and orders most.
    (0.05, 0.02),
)

CASCADE = Site(
    "cascade",
    ("olympia", "tacoma", "everett", "bellingham"),
    {"writing": 5, "booking": 4},
    (
        Traffic("funeral", "urgent", "writing", 0.05, 320, 5_000, (8, 24)),
        Traffic("swap", "urgent", "booking", 0.15, 500, 5_000, idempotent=False),
        Traffic("explain", "standard", "writing", 0.45, 800, 2_000, (8, 30)),
        Traffic("draft", "background", "writing", 0.35, 2_000, 4_000, (15, 60)),
    ),
    # Cascade values goodput most, which includes drafts.
    (0.2, 0.1),
)

SITES = {site.name: site for site in (KRONWACHT, CASCADE)}
