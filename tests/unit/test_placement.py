"""Limits of an entry and its choice of endpoints."""

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
from tests.lib.entry_fakes import CATALOGUE, FakeLink, routed
from tests.lib.fakes import FakeClock, catalogue, change


class AdmissionTest(unittest.TestCase):
    def admission(self, entries: int = 1, max_requests: int = 20) -> EntryAdmission:
        return EntryAdmission(max_requests, lambda: CATALOGUE, lambda: entries)

    def admit(self, admission: EntryAdmission, customer: str, class_name: str = "chat") -> Any:
        request_class = CATALOGUE.classes[class_name]
        result = admission.admit(CATALOGUE.customers[customer], CATALOGUE.tier_of(request_class))
        return None if is_successful(result) else result.failure().code

    def test_lower_tiers_leave_room_for_the_urgent(self) -> None:
        admission = self.admission()
        counts = {}
        for class_name in ("draft", "chat", "notice"):
            while self.admit(admission, "demo", class_name) is None:
                counts[class_name] = admission.in_flight
        self.assertEqual({"draft": 14, "chat": 17, "notice": 20}, counts)

    @parameterized.expand([("alone", 1, 4), ("one_of_four", 4, 2), ("one_of_many", 100, 1)])
    def test_a_customers_limit_is_divided_among_entries(
        self, _: str, entries: int, expected: int
    ) -> None:
        admission = self.admission(entries)
        while self.admit(admission, "small") is None:
            pass
        self.assertEqual(expected, admission.in_flight)

    def test_a_flooding_customer_leaves_the_others_their_share(self) -> None:
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

    def test_a_closed_entry_refuses(self) -> None:
        admission = self.admission()
        admission.close()
        self.assertEqual(FailureCode.DRAINING, self.admit(admission, "demo"))


class PlacementTest(unittest.TestCase):
    def test_the_least_pressed_of_a_sample_and_the_warm_one(self) -> None:
        links = [FakeLink(f"engine-{number}") for number in range(8)]
        for number, link in enumerate(links):
            link.load = SideLoad(slots=8, running=number)
        policy = SampledPlacement("olympia", random.Random(1))
        usable = cast(list[SideLink], links)
        best = policy.choose(routed(), usable, 4)
        self.assertEqual(
            [link.endpoint.name for link in usable[:4]], [b.endpoint.name for b in best]
        )
        warm = [policy.choose(routed(prefix=5), usable, 2)[0] for _ in range(5)]
        self.assertEqual(1, len(set(warm)))
        cast(FakeLink, warm[0]).load = SideLoad(slots=8, running=8, queued=8)
        self.assertNotIn(warm[0], policy.choose(routed(prefix=5), usable, 2))

    @parameterized.expand(
        ["leaving", "draining", "disconnected", "unconfigured", "record", "ejected"]
    )
    def test_endpoints_that_get_no_work(self, how: str) -> None:
        links = [FakeLink("engine-0"), FakeLink("engine-1")]
        view, health = VMView(), EndpointHealth()
        if how == "leaving":
            view.apply(change(1, [records.vm("engine-0", "side", state="leaving")]))
        elif how == "draining":
            links[0].load = SideLoad(slots=8, draining=True)
        elif how == "unconfigured":
            links[0].load = SideLoad()
        elif how == "disconnected":
            links[0].connected = False
        elif how == "record":
            document = records.endpoint("engine-0", "writing", 1, draining=True)
            links[0].endpoint = catalogue([document]).endpoints["engine-0"]
        else:
            for _ in range(3):
                health.record_failure("engine-0")
        candidates = Candidates(lambda: cast(list[SideLink], links), health, view)
        usable = candidates.for_service("writing", frozenset())
        self.assertEqual(["engine-1"], [link.endpoint.name for link in usable])

    def test_an_ejected_endpoint_is_tried_again_by_one_request(self) -> None:
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

    def test_retries_stay_a_share_of_the_traffic(self) -> None:
        FakeClock(self)
        budget = RetryBudget()
        allowed = 0
        for _ in range(1000):
            budget.record_request()
            allowed += budget.try_spend()
        self.assertLessEqual(allowed, 0.1 * 1000 + 2)
        self.assertGreater(allowed, 90)


class SubsetTest(unittest.TestCase):
    """Forty entries and four hundred endpoints in four data centres, of two services."""

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

    def test_every_endpoint_is_served_and_every_entry_has_its_part(self) -> None:
        links = self.choose(self.ENTRIES)
        served = [sum(name in chosen for chosen in links.values()) for name in self.names()]
        self.assertGreaterEqual(min(served), 3)
        sizes = [len(chosen) for chosen in links.values()]
        self.assertAlmostEqual(30, sum(sizes) / len(sizes), delta=2)
        self.assertLess(max(sizes), 60)
        self.assertTrue(all("lone-0" in chosen for chosen in links.values()))

    def test_half_of_an_endpoints_entries_are_near(self) -> None:
        links = self.choose(self.ENTRIES)
        near = far = 0
        for entry, chosen in links.items():
            for endpoint in self.groups["large"]:
                if endpoint.name in chosen:
                    near += endpoint.data_centre == self.ENTRIES[entry]
                    far += endpoint.data_centre != self.ENTRIES[entry]
        self.assertGreater(near, far)
        self.assertGreater(far, near / 3)

    def test_the_loss_of_a_data_centre_leaves_every_endpoint_served(self) -> None:
        left = {name: place for name, place in self.ENTRIES.items() if place != "dc-0"}
        links = self.choose(left)
        served = [sum(name in chosen for chosen in links.values()) for name in self.names()]
        self.assertGreaterEqual(min(served), 2)

    def test_an_entry_that_goes_moves_few_links(self) -> None:
        before = self.choose(self.ENTRIES)
        fewer = {name: place for name, place in self.ENTRIES.items() if name != "entry-7"}
        after = self.choose(fewer)
        new = sum(len(after[entry] - before[entry]) for entry in fewer)
        self.assertLessEqual(new, 2 * len(before["entry-7"]))

    def test_an_entry_that_knows_no_list_keeps_to_its_size(self) -> None:
        chosen = fallback_subset("entry-1", self.groups, 30)
        self.assertLessEqual(len(chosen), 31)
        self.assertIn("lone-0", chosen)

    def test_a_small_site_is_linked_fully(self) -> None:
        few = {"large": self.groups["large"][:20]}
        self.assertEqual(20, len(SubsetChooser({"e": "dc-0"}, 30).endpoints_of("e", few)))

    def names(self) -> list[str]:
        return [endpoint.name for group in self.groups.values() for endpoint in group]


if __name__ == "__main__":
    unittest.main()
