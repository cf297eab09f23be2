"""What a gateway knows agrees with the store, after any series of drills, gaps and outages."""

import asyncio
import os
import unittest
from typing import Any
from unittest import mock

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from tests.lib.store_series import Event, StoreSeries

#: Number of fresh series to play; without it, the same series are played each time.
_FRESH_SERIES = int(os.environ.get("STORE_SERIES", "0"))
_FIXED_SERIES = 250
_EVENTS = st.builds(
    Event,
    after_s=st.floats(0.0, 2.2),
    kind=st.sampled_from(
        [name.removeprefix("event_") for name in dir(StoreSeries) if name.startswith("event_")]
    ),
    target=st.integers(0, 5),
    length_s=st.floats(0.4, 6.0),
    variant=st.floats(0.0, 1.0),
)
_AVAILABILITY = "pearshed._internal.gateway.availability"


def play(events: list[Event]) -> list[str]:
    """Play one series with a clock of its own; return what was not kept."""
    case = unittest.TestCase()
    with mock.patch("absl.logging.info"):
        try:
            return asyncio.run(StoreSeries(case).play(events))
        finally:
            case.doCleanups()


class StoreAgreementTest(unittest.TestCase):
    """Guards against beliefs that outlast what brought them, in any order of events.

    After quiet, engines, evacuations and version are those of the store. Meanwhile no engine is
    used that is known to have left, no zone that is known to be evacuated, and none is evacuated
    whose evacuation is known to have ended; the configuration never goes back, nor do its keys.
    """

    @settings(
        max_examples=_FRESH_SERIES or _FIXED_SERIES,
        derandomize=not _FRESH_SERIES,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(_EVENTS, min_size=1, max_size=22))
    def test_after_quiet_each_gateway_agrees_with_the_store(self, events: list[Event]) -> None:
        self.assertEqual([], play(events))

    @parameterized.expand(
        [
            (
                "another_gateway_lists_what_it_lets_come_back",
                [
                    Event(1.4, "leave", 2, 2.1, 0.8),
                    Event(0.3, "drill", 2, 1.6, 0.5),
                    Event(1.4, "restart", 0, 4.4, 0.7),
                    Event(1.6, "crash", 4, 4.4, 1.0),
                    Event(1.3, "lapse", 0, 5.5, 0.3),
                    Event(0.4, "drill", 2, 3.8, 0.8),
                    Event(1.1, "turn_away", 5, 2.3, 0.5),
                ],
            ),
            (
                "another_gateway_with_the_same_list_confirms_no_doubted_entry",
                [
                    Event(0.4, "drain", 1, 0.7, 0.6),
                    Event(2.0, "drill", 0, 3.6, 0.8),
                    Event(1.1, "freeze", 3, 4.3, 0.0),
                    Event(1.9, "turn_away", 1, 2.1, 0.5),
                    Event(0.8, "outage", 0, 3.2, 0.0),
                    Event(0.2, "turn_away", 2, 5.0, 0.8),
                ],
            ),
            (
                "a_lost_history_lets_no_older_list_in",
                [
                    Event(1.0, "crash", 4, 1.5, 0.3),
                    Event(1.6, "evacuate", 4, 0.9, 0.4),
                    Event(0.7, "leave", 3, 4.3, 0.7),
                    Event(0.2, "freeze", 0, 3.5, 0.6),
                    Event(1.3, "drill", 1, 5.0, 0.8),
                ],
            ),
            (
                "a_copy_from_before_the_last_drill_has_higher_counts",
                [
                    Event(0.0, "drill", 0, 1.0, 0.0),
                    Event(1.0, "drill", 1, 1.0, 1.0),
                    Event(1.0, "leave", 0, 1.0, 0.0),
                    Event(1.0, "drill", 0, 1.0, 0.25),
                ],
            ),
        ]
    )
    def test_series_that_once_failed_are_kept(self, _: str, events: list[Event]) -> None:
        self.assertEqual([], play(events))


class BrokenSwitchTest(unittest.TestCase):
    """Proves that the series notice each promise that is broken."""

    @parameterized.expand(
        [
            # name, what is replaced by a constant result, the series, what it must report
            (
                "departures_never_end",
                {
                    f"{_AVAILABILITY}.departures.is_written_since": False,
                    f"{_AVAILABILITY}.entry_table.is_lease_over": False,
                },
                [Event(0.7, "lapse", 0, 4.0)],
                "engines",
            ),
            (
                "leases_never_end",
                {f"{_AVAILABILITY}.entry_table.is_lease_over": False},
                [
                    Event(0.6, "lapse", 5, 3.8, 0.8),
                    Event(0.4, "restart", 1, 2.2, 0.6),
                    Event(1.3, "leave", 3, 5.5, 0.6),
                    Event(2.0, "drill", 3, 1.5, 0.2),
                ],
                "engines",
            ),
            (
                "leases_end_at_once",
                {f"{_AVAILABILITY}.entry_table.is_lease_over": True},
                [Event(0.2, "leave", 4, 3.4, 0.4), Event(1.5, "drill", 2, 3.3, 0.7)],
                "has left, is used again",
            ),
            (
                "departures_are_forgotten",
                {f"{_AVAILABILITY}.departures.Departures.has_left": False},
                [Event(0.2, "leave", 4, 3.4, 0.4), Event(1.5, "drill", 2, 3.3, 0.7)],
                "has left, is used again",
            ),
            (
                "evacuations_that_a_copy_lacks_never_end",
                {f"{_AVAILABILITY}.evacuations.is_hold_over": False},
                [
                    Event(0.3, "evacuate", 4, 5.0, 0.2),
                    Event(1.3, "restart", 1, 2.5, 0.5),
                    Event(0.1, "lapse", 4, 1.6, 0.7),
                    Event(0.9, "drill", 3, 3.7, 0.5),
                    Event(0.7, "leave", 5, 4.8, 0.1),
                    Event(0.7, "gap", 2, 4.5, 0.3),
                ],
                "evacuations",
            ),
            (
                "evacuations_that_a_copy_lacks_end_at_once",
                {f"{_AVAILABILITY}.evacuations.is_hold_over": True},
                [Event(1.4, "evacuate", 3, 3.7), Event(1.5, "drill", 2, 0.4, 0.7)],
                "is evacuated, is used",
            ),
            (
                "ends_of_evacuations_are_forgotten",
                {f"{_AVAILABILITY}.evacuations.EvacuationTable._is_copied": False},
                [
                    Event(1.5, "evacuate", 0, 1.3, 0.7),
                    Event(1.4, "outage", 3, 3.1, 0.7),
                    Event(1.7, "drill", 2, 5.8, 0.8),
                    Event(1.9, "lapse", 1, 5.0, 0.2),
                    Event(0.8, "drill", 4, 3.8, 0.9),
                ],
                "is evacuated again",
            ),
        ]
    )
    def test_a_broken_switch_is_noticed(
        self, _: str, switches: dict[str, Any], events: list[Event], report: str
    ) -> None:
        self.assertEqual([], play(events))
        for target, result in switches.items():
            patcher = mock.patch(target, return_value=result)
            patcher.start()
            self.addCleanup(patcher.stop)
        self.assertTrue(any(report in problem for problem in play(events)))
