"""Questions of other gateways whether this one has the same keys."""

from parameterized import parameterized

from pearshed._internal.gateway.availability.key_confirmation import (
    KEYS_PATH,
    MAX_CONFIRMED_AGE_S,
)
from tests.lib.gateway_caller import Caller
from tests.lib.gateway_fixture import GatewayTestCase


class KeyQuestionTest(GatewayTestCase):
    """Guards against a confirmation of keys that differ, or of which this gateway knows little."""

    @parameterized.expand(
        [("other_keys", "?digest=00"), ("no_digest", ""), ("odd", "?digest=%ff&")]
    )
    async def test_other_keys_are_not_confirmed(self, _: str, query: str) -> None:
        await self.start_gateway()
        self.assertEqual(204, await self.ask(query))

    async def test_equal_keys_are_confirmed_while_the_own_state_is_fresh(self) -> None:
        gateway = await self.start_gateway()
        query = f"?digest={gateway._key_confirmation._digest()}"
        self.assertEqual(200, await self.ask(query))
        self.store.hang = True
        self.clock_offset += MAX_CONFIRMED_AGE_S + 1.0
        self.assertEqual(204, await self.ask(query))

    async def ask(self, query: str) -> int | None:
        caller = await Caller.connect(self.settings.control)
        try:
            caller.send(KEYS_PATH + query, method="GET")
            head = await caller.read_head()
            return int(head.split(b" ")[1])
        finally:
            caller.close()
