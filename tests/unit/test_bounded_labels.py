"""What is kept of texts and peers that others choose: metric labels, log fields, recent peers."""

import json
import logging
import unittest

from pearshed._internal.engine_side.place_queue import MAX_RUNS, PlaceKeeper
from pearshed._internal.engine_side.recent_peers import MAX_PEERS, RecentPeers
from pearshed._internal.gateway.request_logger import MAX_LINES_PER_S, RequestLogger
from pearshed._internal.gateway.request_metrics import RequestMetrics
from pearshed._internal.logs import JsonFormatter, PlainFormatter
from pearshed._internal.telemetry.bounded_labels import OTHER, BoundedLabels


class BoundedLabelTest(unittest.TestCase):
    def test_reasons_with_figures_have_one_label(self) -> None:
        labels = BoundedLabels(3)
        texts = [f"no answer within {number / 100:.2f} s" for number in range(1000)]
        self.assertEqual({"no answer within N s"}, {labels.label(text) for text in texts})
        many = {labels.label("x" * number) for number in range(1, 50)}
        self.assertEqual((3, True), (len(many), OTHER in many))

    def test_refusals_have_a_bounded_number_of_labels(self) -> None:
        metrics = RequestMetrics()
        for number in range(5000):
            metrics.record_refusal(
                502, "malformed answer: " + chr(ord("a") + number % 26) * (number % 90)
            )
        refusals = next(one for one in metrics.collect() if "refusals" in one.name)
        self.assertLess(len(refusals.samples), 100)


class BoundedLogTest(unittest.TestCase):
    def test_a_long_field_is_cut(self) -> None:
        record = logging.makeLogRecord({"msg": "event", "fields": {"request": "x" * 100_000}})
        line = JsonFormatter("edge").format(record)
        self.assertLess(len(line), 1000)
        self.assertTrue(json.loads(line)["request"].startswith("xxx"))
        self.assertLess(len(PlainFormatter().format(record)), 1000)

    def test_lines_on_requests_without_a_route_are_sampled(self) -> None:
        request_logger = RequestLogger(dict)
        with self.assertLogs("absl", "INFO") as logs:
            for _ in range(10_000):
                request_logger.write("request.malformed", "", failed=False)
        self.assertLess(len(logs.records), 3 * MAX_LINES_PER_S + 10_000 // 8)


class BoundedPeerTest(unittest.TestCase):
    def test_a_peer_is_served_once_in_an_interval(self) -> None:
        peers = RecentPeers(0.5)
        served = [peers.begin(("127.0.0.1", 1), now) for now in (1.0, 1.2, 1.6, 1.9, 2.2)]
        self.assertEqual([True, False, True, False, True], served)

    def test_no_number_of_peers_is_remembered(self) -> None:
        for now_step in (0.0, 0.001):
            peers = RecentPeers(0.5)
            for number in range(3 * MAX_PEERS):
                self.assertTrue(
                    peers.begin((f"127.0.{number // 200}.1", number), number * now_step)
                )
                self.assertLessEqual(len(peers), MAX_PEERS)

    def test_runs_with_places_are_bounded(self) -> None:
        places = PlaceKeeper(lambda run: None)
        for number in range(MAX_RUNS + 50):
            places.queue(f"run-{number}")
        self.assertEqual(MAX_RUNS, places.run_count)
