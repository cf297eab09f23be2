"""Runs load scenarios under different policies against real processes of a site."""

import json
import subprocess
import sys
import threading
from collections.abc import Callable
from dataclasses import asdict, dataclass

from bench.probes import wait
from bench.sites import (
    FIRST_TOKEN_MS,
    PLAIN_SERVICE_MS,
    SLOTS_PER_ENDPOINT,
    TOKEN_INTERVAL_MS,
    Site,
)
from tests.lib import records
from tests.lib.fleet import ROOT, Fleet, Node, wait_for
from tests.lib.ports import free_port

_ENTRY_COUNT = 2
_PEER_SETTINGS = {"heartbeat_s": 1.0, "silence_s": 3.0}
_SETTLE_S = 2.0


@dataclass(frozen=True)
class Policy:
    """Settings of entries and sides that define a policy."""

    name: str
    placement: str
    order: str
    fanout: int
    protected_fanout: int


POLICIES = {
    policy.name: policy
    for policy in (
        Policy("pearshed", "sampled", "tiered", 2, 8),
        Policy("round_robin", "round_robin", "fifo", 1, 1),
        Policy("least_load", "least_load", "fifo", 1, 1),
        Policy("fifo", "sampled", "fifo", 2, 2),
    )
}


@dataclass(frozen=True)
class Scenario:
    """Load and fault of a run.

    :ivar load: offered load relative to the capacity.
    :ivar flood: tier of the class whose load is multiplied, or an empty string.
    :ivar fault: injects a fault after a third of the run.
    """

    name: str
    load: float
    flood: str = ""
    fault: "Callable[[SiteRun], None] | None" = None


@dataclass(frozen=True)
class Outcome:
    """Result of a policy in a scenario.

    :ivar attainment: by class, share of the calls with a complete response that began in time.
    :ivar goodput_per_s: such responses per second.
    :ivar wasted: share of the generated tokens that are in no complete response.
    """

    scenario: str
    policy: str
    attainment: dict[str, float]
    goodput_per_s: float
    wasted: float
    offered: int
    refused: int
    failed: int
    left: int

    def as_dict(self) -> dict[str, object]:
        """Return the result as a JSON object."""
        return asdict(self)


def slow_engine(run: "SiteRun") -> None:
    """Slow one engine down to a fifth of its speed."""
    run.fleet.set(run.engines[0], slow=5.0)


def crash_engine(run: "SiteRun") -> None:
    """Kill an engine and restart it two seconds later."""
    run.engines[0].kill()
    wait(2.0)
    run.engines[0] = run.fleet.restart_engine(run.engines[0])
    run.set_speed(run.engines[0])


def platform_down(run: "SiteRun") -> None:
    """Make the platform unavailable."""
    run.fleet.set(run.fleet.platform, down=True)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady", 0.6),
        Scenario("burst_2x", 2.0),
        Scenario("burst_4x", 4.0),
        Scenario("flood", 0.5, flood="background"),
        Scenario("slow_engine", 0.6, fault=slow_engine),
        Scenario("crash", 0.6, fault=crash_engine),
        Scenario("platform_down", 0.6, fault=platform_down),
    )
}


class SiteRun:
    """Runs a site's processes under one policy, and scenarios one after another."""

    def __init__(self, site: Site, policy: Policy) -> None:
        self.site = site
        self.policy = policy
        self.fleet = Fleet()
        self.engines: list[Node] = []
        self.entries: list[Node] = []
        self._plain_endpoints: set[str] = set()

    def __enter__(self) -> "SiteRun":
        documents = self.site.documents()
        vms = [records.vm(f"entry-{number + 1}", "entry") for number in range(_ENTRY_COUNT)]
        ports = {name: free_port() for name in self._endpoint_names()}
        for number, (name, port) in enumerate(ports.items()):
            data_centre = self.site.data_centres[number % len(self.site.data_centres)]
            service = name.rpartition("-")[0]
            documents.append(
                records.endpoint(name, service, port, SLOTS_PER_ENDPOINT, data_centre=data_centre)
            )
            vms.append(records.vm(name, "side", data_centre))
        self.fleet.start_platform(documents, vms)
        sides = [self._start_endpoint(name, port) for name, port in ports.items()]
        self.entries = [
            self.fleet.start_entry(
                f"entry-{number + 1}",
                peers=_PEER_SETTINGS,
                placement=self.policy.placement,
                fanout=self.policy.fanout,
                protected_fanout=self.policy.protected_fanout,
                max_requests=400,
                data_centre=self.site.data_centres[number],
            )
            for number in range(_ENTRY_COUNT)
        ]
        self.fleet.wait_ready(*sides, *self.entries)
        for entry in self.entries:
            self.fleet.wait_links(entry, len(sides))
        wait(_SETTLE_S)
        return self

    def __exit__(self, *_: object) -> None:
        self.fleet.close()

    def measure(self, scenario: Scenario, seconds: float, seed: int) -> Outcome:
        """Run a scenario and restore the site."""
        generated_tokens = self._generated_tokens()
        callers = self._start_callers(scenario, seconds, seed)
        fault_timer = threading.Timer(seconds / 3, self._inject_fault, (scenario,))
        fault_timer.start()
        results = json.loads(callers.communicate()[0])
        fault_timer.join()
        generated_tokens = self._generated_tokens() - generated_tokens
        self._restore()
        return self._outcome(scenario, seconds, results, generated_tokens)

    def set_speed(self, engine: Node) -> None:
        """Set an engine stand-in to the site's speed."""
        first_ms = PLAIN_SERVICE_MS if engine.name in self._plain_endpoints else FIRST_TOKEN_MS
        self.fleet.set(
            engine,
            slots=SLOTS_PER_ENDPOINT,
            first_ms=first_ms,
            token_ms=TOKEN_INTERVAL_MS,
            slow=1.0,
        )

    def _endpoint_names(self) -> list[str]:
        return [
            f"{service}-{number + 1}"
            for service, count in self.site.endpoint_counts.items()
            for number in range(count)
        ]

    def _start_endpoint(self, name: str, port: int) -> Node:
        if not name.startswith("writing"):
            self._plain_endpoints.add(name)
        engine = self.fleet.start_engine(name)
        self.set_speed(engine)
        self.engines.append(engine)
        return self.fleet.start_side(
            f"side-{name}", name, engine.port, port, peers=_PEER_SETTINGS, order=self.policy.order
        )

    def _start_callers(
        self, scenario: Scenario, seconds: float, seed: int
    ) -> "subprocess.Popen[bytes]":
        flood_traffic = [item for item in self.site.traffic if item.tier == scenario.flood]
        arguments = {
            "--site": self.site.name,
            "--ports": ",".join(str(entry.port) for entry in self.entries),
            "--rate": str(scenario.load * self.site.capacity_per_s()),
            "--seconds": str(seconds),
            "--flood": flood_traffic[0].class_name if flood_traffic else "",
            "--seed": str(seed),
        }
        command_arguments = [argument for pair in arguments.items() for argument in pair]
        return subprocess.Popen(
            [sys.executable, "-m", "bench.arrivals", *command_arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )

    def _inject_fault(self, scenario: Scenario) -> None:
        if scenario.fault is not None:
            scenario.fault(self)

    def _restore(self) -> None:
        self.fleet.set(self.fleet.platform, down=False)
        for engine in self.engines:
            self.set_speed(engine)
        wait_for(lambda: all(self._is_idle(engine) for engine in self.engines), "idle engines")
        wait(_SETTLE_S)

    def _is_idle(self, engine: Node) -> bool:
        return int(self.fleet.journal(engine)["running"]) == 0

    def _generated_tokens(self) -> int:
        return sum(int(self.fleet.journal(engine)["tokens"]) for engine in self.engines)

    def _outcome(
        self,
        scenario: Scenario,
        seconds: float,
        results: dict[str, dict[str, int]],
        generated_tokens: int,
    ) -> Outcome:
        complete_tokens = sum(result["whole_tokens"] for result in results.values())
        complete_streams = sum(
            result["whole"] for name, result in results.items() if self._is_streamed(name)
        )
        useful_tokens = complete_tokens + 2 * complete_streams
        return Outcome(
            scenario=scenario.name,
            policy=self.policy.name,
            attainment={
                item.class_name: _attainment(results.get(item.class_name))
                for item in self.site.traffic
            },
            goodput_per_s=sum(result["in_time"] for result in results.values()) / seconds,
            wasted=(
                max(0.0, 1.0 - useful_tokens / generated_tokens) if generated_tokens > 0 else 0.0
            ),
            offered=sum(result["offered"] for result in results.values()),
            refused=sum(result["refused"] for result in results.values()),
            failed=sum(result["failed"] for result in results.values()),
            left=sum(result["left"] for result in results.values()),
        )

    def _is_streamed(self, class_name: str) -> bool:
        """Return whether a class is streamed; a stream has two events besides its tokens."""
        return any(
            item.class_name == class_name and not item.is_plain for item in self.site.traffic
        )


def _attainment(result: dict[str, int] | None) -> float:
    return result["in_time"] / result["offered"] if result and result["offered"] else 0.0
