"""Nothing outside the adapter knows the names of the users' platform."""

from __future__ import annotations

from pathlib import Path

import pytest

from hillstack.platform import names

SOURCE = Path(__file__).parents[2] / "src" / "hillstack"
ADAPTER = SOURCE / "platform"

# Names that mean nothing else. Words that the product uses for itself are not listed, such as
# "tenant" and the path of the readiness question, which the OpenAI dialect's routers have too.
HEADERS = (
    names.REQUEST_ID,
    names.DEADLINE,
    names.API_KEY,
    names.TOKEN_USAGE,
    names.PROMPT_PARTS,
    names.LAST_EVENT_ID,
    names.SIGNATURE,
    names.NOT_EXECUTED,
    names.EXPECT_INSTANCE,
    names.INSTANCE,
    names.EXPECT_VERSION,
    names.VERSIONS,
    names.CACHE_SALT,
    names.FETCH_FROM,
    names.SAVE_TO,
    names.PRIORITY,
    names.WAIT_HEADER,
)
PATHS = (
    names.RANGE_PATH,
    names.KEY_PATH,
    names.WATCH_PATH,
    names.TXN_PATH,
    names.LEASE_PATH,
    names.KEEP_PATH,
    names.LEASE_END_PATH,
    names.CACHE_EVENTS_PATH,
    names.CACHE_LIST_PATH,
    names.CONFIGURATION_KEY,
    names.WEIGHTS_PREFIX,
    names.RUNNERS_PREFIX,
)
FIELDS = (
    "api_keys",
    "gap_target_ms",
    'kv_capacity_tokens"',
    "kv_store_addr",
    'kv_token_bytes"',
    "link_mbps",
    "max_conns",
    'path_prefix"',
    'resumable"',
    "target_ms",
    "ttl_ms",
    'expected_count"',
    'next_token"',
)
STAND_INS = ("fleet_store.py", "fleet_runner.py", "fleet_cache.py")
# The OpenAI dialect of today's routers has these words of its own.
OWN_WORDS = {"x-request-id"}


def product_sources() -> list[Path]:
    stand_ins = {SOURCE / "emulator" / name for name in STAND_INS}
    paths = [path for path in SOURCE.rglob("*.py") if ADAPTER not in path.parents]
    return [path for path in paths if path not in stand_ins]


@pytest.mark.parametrize("name", [*HEADERS, *PATHS, *FIELDS])
def test_a_name_of_the_platform_stands_only_in_the_adapter(name: str) -> None:
    wanted = name.lower()
    for path in product_sources():
        text = path.read_text().lower()
        for own in OWN_WORDS:
            text = text.replace(own, "")
        assert wanted not in text, f"{path.relative_to(SOURCE)} knows {name!r}"


@pytest.mark.parametrize("name", [*HEADERS, *PATHS])
def test_the_stand_ins_take_the_names_from_the_adapter(name: str) -> None:
    for stand_in in STAND_INS:
        text = (SOURCE / "emulator" / stand_in).read_text()
        assert f'"{name}"' not in text
