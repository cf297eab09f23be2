"""The users' sites and their traffic, scaled so that one machine can run them."""

from dataclasses import dataclass

from tests.lib import records
from tests.lib.records import Document

SLOTS = 4
TOKEN_MS = 30.0
FIRST_MS = 20.0
PLAIN_MS = 120.0


@dataclass(frozen=True)
class Traffic:
    """Calls of one class.

    :ivar share: part of the offered calls.
    :ivar target_ms: time to the first part that counts as in time.
    :ivar tokens: least and most tokens of an answer; empty for calls to a plain service.
    """

    class_name: str
    tier: str
    service: str
    share: float
    target_ms: int
    max_wait_ms: int
    tokens: tuple[int, int] = (0, 0)
    idempotent: bool = True

    @property
    def plain(self) -> bool:
        """Whether the calls go to a plain service."""
        return self.tokens == (0, 0)

    @property
    def mean_service_s(self) -> float:
        """Mean time that a call holds a slot of an idle endpoint, seconds."""
        if self.plain:
            return PLAIN_MS / 1000
        return (FIRST_MS + TOKEN_MS * sum(self.tokens) / 2) / 1000


@dataclass(frozen=True)
class Site:
    """A user's endpoints, data centres and traffic.

    :ivar services: number of endpoints of each service.
    :ivar shares: shares of the standard and the background tier.
    """

    name: str
    data_centres: tuple[str, ...]
    services: dict[str, int]
    traffic: tuple[Traffic, ...]
    shares: tuple[float, float]
    customers: int = 10

    def capacity_per_s(self) -> float:
        """Find the rate of calls at which the busiest service has every slot in use."""
        rates = []
        for service, endpoints in self.services.items():
            work_s = sum(
                item.share * item.mean_service_s for item in self.traffic if item.service == service
            )
            rates.append(endpoints * SLOTS / work_s)
        return min(rates)

    def documents(self) -> list[Document]:
        """Make the site's records, endpoints left out."""
        documents = [
            records.record("tier", "urgent", rank=0, protected=True),
            records.record("tier", "standard", rank=1, share=self.shares[0]),
            records.record("tier", "background", rank=2, share=self.shares[1]),
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
    # Kronwacht weighs attainment of notices and orders most.
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
    # Cascade weighs goodput most, and drafts count.
    (0.2, 0.1),
)

SITES = {site.name: site for site in (KRONWACHT, CASCADE)}
