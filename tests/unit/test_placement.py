"""Tests of an entry's admission limits, placement, health, retry budget and subset."""

import random
import unittest
from typing import Any, cast

from parameterized import parameterized
from returns.pipeline import is_successful

from pearshed._internal.entry.admission import EntryAdmission
from pearshed._internal.entry.health import EndpointHealth
from pearshed._internal.entry.link import SideLink, SideLoad
from pearshed._internal.entry.placement import Candidates, SampledPlacement
from pearshed._internal.entry.retry_budget import RetryBudget
from pearshed._internal.membership.subset import SubsetChooser, fallback_subset
from pearshed._internal.membership.vm_view import VMView
from pearshed._internal.models.outcomes import FailureCode
from tests.lib import records
from tests.lib.entry_fakes import CATALOGUE, FakeLink, routed_request
from tests.lib.fakes import FakeClock, catalogue, change


class AdmissionTest(unittest.TestCase):
    def admission(self, entries: int = 1, max_requests: int = 20) -> EntryAdmission:
        return EntryAdmission(max_requests, lambda: CATALOGUE, lambda: entries)

    def admit(self, admission: EntryAdmission, customer: str, class_name: str = "chat") -> Any:
        request_class = CATALOGUE.classes[class_name]
        result = admission.admit(CATALOGUE.customers[customer], CATALOGUE.tier_of(request_class))
        return None if is_successful(result) else result.failure().code

    def test_lower_tiers_leave_capacity_for_higher_ones(self) -> None:
        admission = self.admission()
        counts = {}
        for class_name in ("draft", "chat", "notice"):
            while self.admit(admission, "demo", class_name) is None:
                counts[class_name] = admission.in_flight
        self.assertEqual({"draft": 14, "chat": 17, "notice": 20}, counts)

    @parameterized.expand([("alone", 1, 4), ("one_of_four", 4, 2), ("one_of_many", 100, 1)])
    def test_customer_limit_is_divided_among_entries(
        self, _: str, entries: int, expected: int
    ) -> None:
        admission = self.admission(entries)
        while self.admit(admission, "small") is None:
            pass
        self.assertEqual(expected, admission.in_flight)

    def test_flooding_customer_leaves_others_their_fair_share(self) -> None:
        admission = self.admission(max_requests=100)
        while self.admit(admission, "demo") is None:
            pass
        flooded = admission.in_flight
        heavy = 0
        while self.admit(admission, "heavy") is None:
            heavy += 1
        self.assertLess(flooded, 86)
        self.assertIsNone(self.admit(admission, "demo", "notice"))
        for _ in range(flooded):
            admission.release(CATALOGUE.customers["demo"])
        self.assertEqual(heavy + 1, admission.in_flight)

    def test_closed_admission_refuses_requests(self) -> None:
        admission = self.admission()
        admission.close()
        self.assertEqual(FailureCode.DRAINING, self.admit(admission, "demo"))


class PlacementTest(unittest.TestCase):
    def test_sampled_placement_prefers_warm_and_least_loaded_links(self) -> None:
        links = [FakeLink(f"engine-{number}") for number in range(8)]
        for number, link in enumerate(links):
            link.load = SideLoad(slots=8, running=number)
        policy = SampledPlacement("olympia", random.Random(1))
        usable = cast(list[SideLink], links)
        chosen = policy.choose(routed_request(), usable, 4)
        self.assertEqual(
            [link.endpoint.name for link in usable[:4]], [link.endpoint.name for link in chosen]
        )
        warm = [policy.choose(routed_request(prefix_hash=5), usable, 2)[0] for _ in range(5)]
        self.assertEqual(1, len(set(warm)))
        cast(FakeLink, warm[0]).load = SideLoad(slots=8, running=8, queued=8)
        self.assertNotIn(warm[0], policy.choose(routed_request(prefix_hash=5), usable, 2))

    @parameterized.expand(
        ["leaving", "draining", "disconnected", "unconfigured", "record", "ejected"]
    )
    def test_unusable_endpoints_get_no_requests(self, condition: str) -> None:
        links = [FakeLink("engine-0"), FakeLink("engine-1")]
        view, health = VMView(), EndpointHealth()
        if condition == "leaving":
            view.apply(change(1, [records.vm("engine-0", "side", state="leaving")]))
        elif condition == "draining":
            links[0].load = SideLoad(slots=8, draining=True)
        elif condition == "unconfigured":
            links[0].load = SideLoad()
        elif condition == "disconnected":
            links[0].connected = False
        elif condition == "record":
            document = records.endpoint("engine-0", "writing", 1, draining=True)
            links[0].endpoint = catalogue([document]).endpoints["engine-0"]
        else:
            for _ in range(3):
                health.record_failure("engine-0")
        candidates = Candidates(lambda: cast(list[SideLink], links), health, view)
        usable = candidates.for_service("writing", frozenset())
        self.assertEqual(["engine-1"], [link.endpoint.name for link in usable])

    def test_ejected_endpoint_gets_one_trial_request_at_a_time(self) -> None:
        time, health = FakeClock(self), EndpointHealth()
        for _ in range(3):
            health.record_failure("a")
        self.assertFalse(health.is_available("a"))
        time.advance(1.1)
        self.assertTrue(health.is_available("a"))
        health.record_start("a")
        self.assertFalse(health.is_available("a"))
        health.record_failure("a")
        time.advance(1.1)
        self.assertFalse(health.is_available("a"), "the second ejection is longer")
        time.advance(1.0)
        health.record_start("a")
        health.record_success("a")
        self.assertTrue(health.is_available("a"))

    def test_retries_are_limited_to_a_share_of_requests(self) -> None:
        FakeClock(self)
        budget = RetryBudget()
        allowed = 0
        for _ in range(1000):
            budget.record_request()
            allowed += budget.try_spend()
        self.assertLessEqual(allowed, 0.1 * 1000)
        self.assertGreater(allowed, 90)

    @parameterized.expand([("never", 1000.0), ("each_second", 1.0), ("ten_times_a_second", 0.1)])
    def test_an_entry_that_restarts_retries_no_more_than_one_that_runs_on(
        self, _: str, restarted_after_s: float
    ) -> None:
        time = FakeClock(self)
        allowed = 0
        for step in range(1000):
            if step % round(restarted_after_s / 0.01) == 0:
                budget = RetryBudget()
            budget.record_request()
            allowed += budget.try_spend()
            time.advance(0.01)
        self.assertLessEqual(allowed, 0.1 * 1000 + 2.0 * 10.0)


class SubsetTest(unittest.TestCase):
    """Subsets of forty entries and four hundred endpoints, of two services in four data centres."""

    ENTRIES = {f"entry-{number}": f"dc-{number % 4}" for number in range(40)}

    def setUp(self) -> None:
        documents = [
            records.endpoint(f"{service}-{number}", service, 1, data_centre=f"dc-{number % 4}")
            for service, count in (("large", 399), ("lone", 1))
            for number in range(count)
        ]
        self.groups = catalogue(documents).endpoints_by_service

    def choose(self, entries: dict[str, str]) -> dict[str, set[str]]:
        chooser = SubsetChooser(entries, 30)
        return {entry: set(chooser.endpoints_of(entry, self.groups)) for entry in entries}

    def test_every_endpoint_is_linked_and_subsets_are_balanced(self) -> None:
        links = self.choose(self.ENTRIES)
        link_counts = [
            sum(name in chosen for chosen in links.values()) for name in self.endpoint_names()
        ]
        self.assertGreaterEqual(min(link_counts), 3)
        sizes = [len(chosen) for chosen in links.values()]
        self.assertAlmostEqual(30, sum(sizes) / len(sizes), delta=2)
        self.assertLess(max(sizes), 60)
        self.assertTrue(all("lone-0" in chosen for chosen in links.values()))

    def test_endpoints_are_linked_from_their_own_and_other_data_centres(self) -> None:
        links = self.choose(self.ENTRIES)
        local = remote = 0
        for entry, chosen in links.items():
            for endpoint in self.groups["large"]:
                if endpoint.name in chosen:
                    local += endpoint.data_centre == self.ENTRIES[entry]
                    remote += endpoint.data_centre != self.ENTRIES[entry]
        self.assertGreater(local, remote)
        self.assertGreater(remote, local / 3)

    def test_loss_of_a_data_centre_leaves_every_endpoint_linked(self) -> None:
        remaining = {
            name: data_centre for name, data_centre in self.ENTRIES.items() if data_centre != "dc-0"
        }
        links = self.choose(remaining)
        link_counts = [
            sum(name in chosen for chosen in links.values()) for name in self.endpoint_names()
        ]
        self.assertGreaterEqual(min(link_counts), 2)

    def test_removed_entry_moves_few_links(self) -> None:
        before = self.choose(self.ENTRIES)
        fewer = {
            name: data_centre for name, data_centre in self.ENTRIES.items() if name != "entry-7"
        }
        after = self.choose(fewer)
        new = sum(len(after[entry] - before[entry]) for entry in fewer)
        self.assertLessEqual(new, 2 * len(before["entry-7"]))

    def test_fallback_subset_respects_the_size(self) -> None:
        chosen = fallback_subset("entry-1", self.groups, 30)
        self.assertLessEqual(len(chosen), 31)
        self.assertIn("lone-0", chosen)

    def test_small_fleet_is_linked_fully(self) -> None:
        small_fleet = {"large": self.groups["large"][:20]}
        self.assertEqual(20, len(SubsetChooser({"e": "dc-0"}, 30).endpoints_of("e", small_fleet)))

    def endpoint_names(self) -> list[str]:
        return [endpoint.name for group in self.groups.values() for endpoint in group]


if __name__ == "__main__":
    unittest.main()
