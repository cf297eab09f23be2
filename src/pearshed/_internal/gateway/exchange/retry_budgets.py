"""The retry budgets of all services, and the loans by which gateways with more failures use more.

A retry that finds this gateway's budget empty asks a few others in turn for what it lacks. Tokens
that are lent leave the lender's budget before they are sent, so a lost message loses them.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from pearshed._internal.decisions.service_retry_budget import ServiceRetryBudget
from pearshed._internal.gateway.exchange.messages import ExchangeMessage, Loan, LoanRequest
from pearshed._internal.telemetry.metrics import Metric, Sample, counter
from pearshed._internal.timers import clock

#: Gateways that are asked for one retry.
MAX_LENDERS = 4
#: Time for the response of each, seconds.
RESPONSE_TIMEOUT_S = 0.05
#: Time for which a gateway is not asked after it had nothing to lend, seconds.
EMPTY_PAUSE_S = 0.5
#: The same after it didn't respond.
SILENT_PAUSE_S = 5.0


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """The limit of the retries for each service.

    :ivar ratio: retries allowed for each request.
    :ivar slack: retries allowed in addition in each window, over all gateways.
    :ivar window_s: length of the window, seconds.
    """

    ratio: float
    slack: float
    window_s: float


class RetryBudgets:
    """Budgets by service.

    :param limits: returns the limits in force.
    :param gateway_count: returns the number of gateways; 0 if it isn't known.
    :param lenders: returns the hosts of gateways that are likely to respond.
    :param is_service: returns whether a service is configured.
    :param send: sends a message to the gateway at a host.
    """

    def __init__(
        self,
        limits: Callable[[], BudgetLimits],
        gateway_count: Callable[[], int],
        lenders: Callable[[], list[str]],
        is_service: Callable[[str], bool],
        send: Callable[[ExchangeMessage, str], None],
        rng: random.Random,
    ) -> None:
        self._limits = limits
        self._gateway_count = gateway_count
        self._lenders = lenders
        self._is_service = is_service
        self._send = send
        self._rng = rng
        self._started_at = clock.now()
        self._budgets: dict[str, ServiceRetryBudget] = {}
        self._needed_at: dict[str, float] = {}
        self._asked_again_at: dict[tuple[str, str], float] = {}
        self._request_count = 0
        self._responses: dict[int, tuple[str, asyncio.Future[float]]] = {}
        self._loans: Counter[str] = Counter()

    @property
    def budgets(self) -> Mapping[str, ServiceRetryBudget]:
        """The budgets that have been used, by service."""
        return self._budgets

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._budget(service).record_request()

    async def try_spend(self, service: str) -> bool:
        """Spend one retry, of what other gateways lend if need be; return whether there was one."""
        budget = self._budget(service)
        self._needed_at[service] = clock.now()
        if budget.try_spend():
            return True
        borrowed = 0.0
        for host in self._choose_lenders(service):
            lacking = 1.0 - budget.tokens - borrowed
            if lacking > 0.0:
                borrowed += await self._borrow(host, service, lacking)
            if budget.try_spend(borrowed):
                return True
        budget.keep(borrowed)
        budget.record_denial()
        return False

    def lend(self, request: LoanRequest, host: str) -> None:
        """Respond to the request of another gateway."""
        service = request.service
        lent = 0.0
        if self._is_service(service):
            budget = self._budget(service)
            needs = clock.now() - self._needed_at.get(service, float("-inf")) < budget.window_s
            # Less than one token is of no use here.
            kept = 1.0 if needs and budget.tokens >= 1.0 else 0.0
            lent = budget.lend(min(1.0, request.tokens, budget.tokens - kept))
        self._loans["given" if lent else "refused"] += 1
        self._send(Loan(request.number, lent), host)

    def receive(self, loan: Loan, host: str) -> None:
        """Take the response of another gateway; a late one is lost."""
        expected_host, response = self._responses.get(loan.number, ("", None))
        if response is not None and host == expected_host and not response.done():
            response.set_result(min(1.0, loan.tokens))

    def dump(self) -> Mapping[str, object]:
        """Return what each budget holds."""
        return {
            service: {
                "tokens": round(budget.tokens, 2),
                "capacity": round(budget.capacity, 2),
                "denied": budget.denied,
            }
            for service, budget in self._budgets.items()
        }

    def collect(self) -> Iterable[Metric]:
        """Report the metrics."""
        yield Metric(
            "pearshed_gateway_retry_tokens",
            "Retries that the budget of this gateway allows now, by service",
            tuple(
                Sample(round(budget.tokens, 2), {"service": service})
                for service, budget in self._budgets.items()
            ),
        )
        yield counter(
            "pearshed_gateway_repeats_allowed_total",
            "Second sends that the budgets have allowed",
            sum(budget.spent for budget in self._budgets.values()),
        )
        yield Metric(
            "pearshed_gateway_retry_loans_total",
            "Requests of gateways for parts of each other's retry budgets, by outcome",
            tuple(Sample(count, {"outcome": name}) for name, count in self._loans.items()),
            counter=True,
        )

    def _budget(self, service: str) -> ServiceRetryBudget:
        limits = self._limits()
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = ServiceRetryBudget(
                limits.ratio, limits.slack, limits.window_s, self._started_at
            )
        budget.configure(limits.ratio, limits.slack, limits.window_s)
        budget.set_gateways(self._gateway_count())
        return budget

    def _choose_lenders(self, service: str) -> list[str]:
        now = clock.now()
        self._asked_again_at = {key: at for key, at in self._asked_again_at.items() if at > now}
        hosts = [host for host in self._lenders() if (host, service) not in self._asked_again_at]
        return self._rng.sample(hosts, min(len(hosts), MAX_LENDERS))

    async def _borrow(self, host: str, service: str, tokens: float) -> float:
        """Ask one gateway for tokens; return how many it lends."""
        self._request_count += 1
        number = self._request_count
        response: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        self._responses[number] = (host, response)
        try:
            self._send(LoanRequest(number, service, tokens), host)
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                lent = await response
        except TimeoutError:
            self._loans["not answered"] += 1
            self._asked_again_at[host, service] = clock.now() + SILENT_PAUSE_S
            return 0.0
        finally:
            del self._responses[number]
        if lent:
            self._loans["received"] += 1
        else:
            self._asked_again_at[host, service] = clock.now() + EMPTY_PAUSE_S
        return lent
