"""How sides and entries decide that an endpoint's response is complete, with real processes."""

import json
import unittest
from typing import ClassVar

from parameterized import parameterized

from tests.lib.fleet import Fleet, SmallSite, chat_body


class ResponseEndTest(unittest.TestCase):
    """All tests share one site; each sets all switches of the engine."""

    fleet: ClassVar[Fleet]
    site: ClassVar[SmallSite]

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.site = SmallSite(cls.fleet, endpoints=1, entries=2)

    def set_engine(self, until_close: bool, omit_bytes: int = 0, token_ms: float = 1.0) -> None:
        self.fleet.set(
            self.site.engines[0], until_close=until_close, omit_bytes=omit_bytes, token_ms=token_ms
        )

    @parameterized.expand([("until_close", True), ("chunked", False)])
    def test_a_stream_that_ends_inside_an_event_ends_with_an_error(
        self, _: str, until_close: bool
    ) -> None:
        self.set_engine(until_close, omit_bytes=3)
        response = self.fleet.call(self.site.entry, body=chat_body())
        error = json.loads(response.data.rpartition(b"data: ")[2])["error"]
        self.assertEqual(("endpoint_failed", "ran"), (error["code"], error["execution"]))
        self.assertIn("inside an event", error["message"])


if __name__ == "__main__":
    unittest.main()
