"""Header, path, parameter and key names of the platform's protocol."""

from __future__ import annotations

# Headers of requests to this router or to runners, and of their answers.
REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
API_KEY = "X-Api-Key"
TENANT = "Tenant"
MODEL = "Model"
TOKEN_USAGE = "Token-Usage"
LENGTH_HINT = "Length-Hint"
PROMPT_PARTS = "Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
SIGNATURE = "Server-Seal"
NOT_EXECUTED = "Not-Executed"
RETRY_AFTER = "Retry-After"
LEAVING = "Server-Leaving"
REQUEST_LIMIT = "Server-Limit"
BRITTLE = "Server-Brittle"
KEEP_ALIVE = "Keep-Alive"
EXPECT_INSTANCE = "Expect-Instance"
INSTANCE = "Instance-Id"
EXPECT_VERSION = "Expect-Version"
VERSIONS = "Weight-Versions"
CACHE_SALT = "Cache-Salt"
FETCH_FROM = "Kv-Fetch"
SAVE_TO = "Kv-Save"
PRIORITY = "Request-Priority"
BACKUP_TO = "Kv-Backup"
CONTINUE_FROM = "Kv-From"
PIN = "Pin-Ms"
HOLD = "Hold"

# The highest value of ``PRIORITY``.
MAX_PRIORITY = 9

# Path of a node's readiness check.
READY_PATH = "/readyz"

# Paths of calls to runners and KV cache stores.
REPORT_PATH = "/report"
ORDER_PATH = "/order"
CACHE_EVENTS_PATH = "/kv-events"
CACHE_LIST_PATH = "/kv-list"
# Query parameter and header of a call to ``CACHE_EVENTS_PATH``.
SINCE_PARAMETER = "since"
WAIT_HEADER = "Wait-Ms"

# Paths of calls to the metadata store.
RANGE_PATH = "/kv-range"
KEY_PATH = "/kv-key"
WATCH_PATH = "/kv-watch"
TXN_PATH = "/kv-txn"
LEASE_PATH = "/kv-lease"
LEASE_RENEWAL_PATH = "/kv-keep"
LEASE_END_PATH = "/kv-lease-end"

# Query parameters of calls to the metadata store.
PREFIX_PARAMETER = "path_prefix"
# Allows the store to answer with data that is some seconds old, at a tenth of the cost.
STALE_PARAMETER = "stale"
# Header of the store's answers. The era rises each time the store is restored from an older copy.
ERA_HEADER = "Store-Era"
AFTER_PARAMETER = "after"
WAIT_PARAMETER = "wait_ms"
KEY_PARAMETER = "key"

# The operation of an order to load weights, and its modes: what the runner does with the requests
# that are running.
WEIGHTS_OPERATION = "version"
FINISH_MODE = "block"
RESET_MODE = "abort"
CONTINUE_MODE = "retain"

# Keys that the platform writes, and the operator's statuses, which hillstack writes.
CONFIGURATION_KEY = "op/config"
WEIGHTS_PREFIX = "op/version/"
RUNNERS_PREFIX = "servers/"
ROLLOUTS_PREFIX = "op/rollout/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"

# Keys that only hillstack uses.
NODES_PREFIX = "hillstack/nodes/"
DUTY_KEY = "hillstack/duties/weights"
ROLLOUT_DUTY_PREFIX = "hillstack/duties/rollout/"
ROLLOUT_RECORDS_PREFIX = "hillstack/rollouts/"
CRASH_LEDGERS_PREFIX = "hillstack/crashes/"
PART_LEDGERS_PREFIX = "hillstack/part-crashes/"
SERVICE_VERSIONS_PREFIX = "hillstack/versions/"
STREAMS_PREFIX = "hillstack/streams/"

# Headers that apply to one connection only and are never forwarded. ``SET_BY_ROUTER`` holds the
# headers that only the router may set, so a caller's values of them are dropped.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    }
)
SET_BY_ROUTER = frozenset(
    name.lower().encode()
    for name in (
        REQUEST_ID,
        API_KEY,
        DEADLINE,
        TENANT,
        CACHE_SALT,
        FETCH_FROM,
        SAVE_TO,
        BACKUP_TO,
        CONTINUE_FROM,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        PRIORITY,
        PIN,
        HOLD,
        LAST_EVENT_ID,
    )
)
