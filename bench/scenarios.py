"""Scenarios and policies, run against real processes of a site."""

import json
import subprocess
import sys
import threading
from collections.abc import Callable
from dataclasses import asdict, dataclass

from bench.probes import rest
from bench.sites import FIRST_MS, PLAIN_MS, SLOTS, TOKEN_MS, Site
from tests.lib import records
from tests.lib.fleet import ROOT, Fleet, Node, free_port, wait_for

_ENTRIES = 2
_PEERS = {"heartbeat_s": 1.0, "silence_s": 3.0}
_SETTLE_S = 2.0


@dataclass(frozen=True)
class Policy:
    """Settings of entries and sides that make a policy."""

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
    """What happens during a run.

    :ivar load: offered calls, relative to the capacity.
    :ivar flood: a tier whose class is multiplied, or an empty string.
    :ivar fault: what is done to the site in the middle of the run.
    """

    name: str
    load: float
    flood: str = ""
    fault: "Callable[[SiteRun], None] | None" = None


@dataclass(frozen=True)
class Outcome:
    """What a policy reached in a scenario.

    :ivar attainment: by class, calls answered whole with the first part in time.
    :ivar goodput_per_s: such answers a second.
    :ivar wasted: part of the tokens made that are in no whole answer.
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
        """Make plain data."""
        return asdict(self)


def slow_engine(run: "SiteRun") -> None:
    """Let one engine work at a fifth of its speed."""
    run.fleet.set(run.engines[0], slow=5.0)


def crash_engine(run: "SiteRun") -> None:
    """Kill an engine and start it again two seconds later."""
    run.engines[0].kill()
    rest(2.0)
    run.engines[0] = run.fleet.restart_engine(run.engines[0])
    run.set_pace(run.engines[0])


def platform_down(run: "SiteRun") -> None:
    """Take the platform down."""
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
    """A site's processes under one policy; scenarios run one after another."""

    def __init__(self, site: Site, policy: Policy) -> None:
        self.site = site
        self.policy = policy
        self.fleet = Fleet()
        self.engines: list[Node] = []
        self.entries: list[Node] = []
        self._plain: set[str] = set()

    def __enter__(self) -> "SiteRun":
        documents = self.site.documents()
        vms = [records.vm(f"entry-{number + 1}", "entry") for number in range(_ENTRIES)]
        ports = {name: free_port() for name in self._endpoint_names()}
        for number, (name, port) in enumerate(ports.items()):
            data_centre = self.site.data_centres[number % len(self.site.data_centres)]
            service = name.rpartition("-")[0]
            documents.append(records.endpoint(name, service, port, SLOTS, data_centre=data_centre))
            vms.append(records.vm(name, "side", data_centre))
        self.fleet.start_platform(documents, vms)
        sides = [self._start_endpoint(name, port) for name, port in ports.items()]
        self.entries = [
            self.fleet.start_entry(
                f"entry-{number + 1}",
                peers=_PEERS,
                placement=self.policy.placement,
                fanout=self.policy.fanout,
                protected_fanout=self.policy.protected_fanout,
                max_requests=400,
                data_centre=self.site.data_centres[number],
            )
            for number in range(_ENTRIES)
        ]
        self.fleet.wait_ready(*sides, *self.entries)
        for entry in self.entries:
            self.fleet.wait_links(entry, len(sides))
        rest(_SETTLE_S)
        return self

    def __exit__(self, *_: object) -> None:
        self.fleet.close()

    def measure(self, scenario: Scenario, seconds: float, seed: int) -> Outcome:
        """Run a scenario and put the site right again."""
        made = self._tokens_made()
        callers = self._start_callers(scenario, seconds, seed)
        fault = threading.Timer(seconds / 3, self._bring_about, (scenario,))
        fault.start()
        results = json.loads(callers.communicate()[0])
        fault.join()
        made = self._tokens_made() - made
        self._put_right()
        return self._outcome(scenario, seconds, results, made)

    def set_pace(self, engine: Node) -> None:
        """Set an engine stand-in to the site's speed."""
        first_ms = PLAIN_MS if engine.name in self._plain else FIRST_MS
        self.fleet.set(engine, slots=SLOTS, first_ms=first_ms, token_ms=TOKEN_MS, slow=1.0)

    def _endpoint_names(self) -> list[str]:
        return [
            f"{service}-{number + 1}"
            for service, count in self.site.services.items()
            for number in range(count)
        ]

    def _start_endpoint(self, name: str, port: int) -> Node:
        if not name.startswith("writing"):
            self._plain.add(name)
        engine = self.fleet.start_engine(name)
        self.set_pace(engine)
        self.engines.append(engine)
        return self.fleet.start_side(
            f"side-{name}", name, engine.port, port, peers=_PEERS, order=self.policy.order
        )

    def _start_callers(
        self, scenario: Scenario, seconds: float, seed: int
    ) -> "subprocess.Popen[bytes]":
        flooding = [item for item in self.site.traffic if item.tier == scenario.flood]
        arguments = {
            "--site": self.site.name,
            "--ports": ",".join(str(entry.port) for entry in self.entries),
            "--rate": str(scenario.load * self.site.capacity_per_s()),
            "--seconds": str(seconds),
            "--flood": flooding[0].class_name if flooding else "",
            "--seed": str(seed),
        }
        words = [word for pair in arguments.items() for word in pair]
        return subprocess.Popen(
            [sys.executable, "-m", "bench.arrivals", *words], cwd=ROOT, stdout=subprocess.PIPE
        )

    def _bring_about(self, scenario: Scenario) -> None:
        if scenario.fault is not None:
            scenario.fault(self)

    def _put_right(self) -> None:
        self.fleet.set(self.fleet.platform, down=False)
        for engine in self.engines:
            self.set_pace(engine)
        wait_for(lambda: all(self._is_idle(engine) for engine in self.engines), "idle engines")
        rest(_SETTLE_S)

    def _is_idle(self, engine: Node) -> bool:
        return int(self.fleet.journal(engine)["running"]) == 0

    def _tokens_made(self) -> int:
        return sum(int(self.fleet.journal(engine)["tokens"]) for engine in self.engines)

    def _outcome(
        self, scenario: Scenario, seconds: float, results: dict[str, dict[str, int]], made: int
    ) -> Outcome:
        whole = sum(result["whole_tokens"] for result in results.values())
        events = sum(result["whole"] for name, result in results.items() if self._streams(name))
        useful = whole + 2 * events
        return Outcome(
            scenario=scenario.name,
            policy=self.policy.name,
            attainment={
                item.class_name: _part(results.get(item.class_name)) for item in self.site.traffic
            },
            goodput_per_s=sum(result["in_time"] for result in results.values()) / seconds,
            wasted=max(0.0, 1.0 - useful / made) if made > 0 else 0.0,
            offered=sum(result["offered"] for result in results.values()),
            refused=sum(result["refused"] for result in results.values()),
            failed=sum(result["failed"] for result in results.values()),
            left=sum(result["left"] for result in results.values()),
        )

    def _streams(self, class_name: str) -> bool:
        """Tell whether a class streams; each such answer has two events besides its tokens."""
        return any(item.class_name == class_name and not item.plain for item in self.site.traffic)


def _part(result: dict[str, int] | None) -> float:
    return result["in_time"] / result["offered"] if result and result["offered"] else 0.0
