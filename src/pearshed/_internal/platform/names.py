"""The platform's names of headers and calls."""

REQUEST_ID = b"pearshed-request-id"
DEADLINE_MS = b"pearshed-deadline-ms"
# The parts of a prompt with their sizes; nothing in it is a hash of the whole prefix.
PROMPT_PARTS = b"pearshed-prefix-hash"
# Tokens of the prompt and the bound on tokens generated; not what was used.
TOKEN_BOUNDS = b"pearshed-token-usage"
LAST_EVENT_ID = b"last-event-id"
SIGNATURE = b"pearshed-response-signature"
CUSTOMER = b"pearshed-tenant"
EXPECT_IDENTITY = b"pearshed-expect-instance"
# Running, waiting and slots; not a load factor.
LOAD = b"pearshed-server-load"
NOT_EXECUTED = b"pearshed-not-executed"
IDENTITY = b"pearshed-instance-id"
LENGTH_HINT = b"pearshed-length-hint"
RANK = b"pearshed-request-priority"
FETCH_FROM = b"kv-fetch"
RETRY_AFTER = b"retry-after"
AUTHORIZATION = b"authorization"
KEY_SCHEME = "token "

#: Headers that only the system sets; what a caller sends in them is dropped.
SYSTEM_HEADERS = frozenset(
    (
        CUSTOMER,
        EXPECT_IDENTITY,
        RANK,
        AUTHORIZATION,
        DEADLINE_MS,
        LAST_EVENT_ID,
        b"pearshed-expect-version",
        b"pearshed-hold",
        b"pearshed-pin-ms",
        b"pearshed-kv-backup",
        b"kv-from",
        FETCH_FROM,
        b"expect",
    )
)

READY_PATH = "/v1/readyz"
ITEM_CALL = "/v1/kv-key"
RANGE_CALL = "/v1/kv-range"
WATCH_CALL = "/v1/kv-watch"
REPORT_CALL = "/v1/report"
CACHE_EVENTS_CALL = "/v1/kv-events"
WAIT_MS = b"wait-ms"
CONFIGURATION_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"

SETTINGS_VARIABLE = "PEARSHED_CONFIG"
