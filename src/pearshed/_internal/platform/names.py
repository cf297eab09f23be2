"""Names of the platform's headers, paths and keys."""

REQUEST_ID = b"pearshed-request-id"
DEADLINE_MS = b"pearshed-deadline-ms"
# Lists the prompt's parts with their sizes; despite its name, no hash of the whole prefix.
PROMPT_PARTS = b"pearshed-prefix-hash"
# Prompt tokens and maximum output tokens; despite its name, not the tokens that were used.
TOKEN_LIMITS = b"pearshed-token-usage"
LAST_EVENT_ID = b"last-event-id"
# The request that brought the first event of the stream that this one takes up.
RESUMES = b"resumes"
SIGNATURE = b"pearshed-response-signature"
CUSTOMER = b"pearshed-tenant"
EXPECT_IDENTITY = b"pearshed-expect-instance"
# Running and waiting requests, and slots; despite its name, not a load factor. Some engines add how
# long work takes now, in percent of the usual.
LOAD = b"pearshed-server-load"
NOT_EXECUTED = b"pearshed-not-executed"
LEAVING = b"server-leaving"
# Requests per second from all gateways together, while the engine is in need.
RATE_LIMIT = b"server-limit"
# Rest of the time for which the engine takes few requests, milliseconds.
COLD_MS = b"pearshed-cold-ms"
LENGTH_HINT = b"pearshed-length-hint"
RANK = b"pearshed-request-priority"
FETCH_FROM = b"kv-fetch"
# With an engine's 503: seconds for which the engine wants nothing from the gateway that it answers.
# With a gateway's own refusal: seconds after which the caller may come back.
RETRY_AFTER = b"retry-after"
AUTHORIZATION = b"authorization"
AUTHORIZATION_SCHEME = "token "

#: Headers that only the system sets for an endpoint; a caller's are not forwarded.
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

ITEM_PATH = "/v1/kv-key"
RANGE_PATH = "/v1/kv-range"
WATCH_PATH = "/v1/kv-watch"
REPORT_PATH = "/v1/report"
CACHE_EVENTS_PATH = "/v1/kv-events"
WAIT_MS = b"wait-ms"
CONFIGURATION_KEY = "op/config"
ENDPOINT_PREFIX = "servers/"
# Followed by the name of a data centre to whose endpoints nothing may be sent; any value.
EVACUATION_PREFIX = "op/evacuate/"
# Rises by one each time that the store comes back from a copy, in all its responses.
STORE_ERA = b"store-era"

SETTINGS_VARIABLE = "PEARSHED_CONFIG"
