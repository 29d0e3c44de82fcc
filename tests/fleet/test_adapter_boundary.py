"""The platform's protocol names appear only in the adapter ``hillstack.platform``."""

from __future__ import annotations

from pathlib import Path

import pytest

from hillstack.platform import names

SOURCE = Path(__file__).parents[2] / "src" / "hillstack"
ADAPTER = SOURCE / "platform"

# Names that occur only in the platform's protocol. Words that hillstack itself uses are not listed,
# such as "tenant" and the path of the readiness check, which routers with an OpenAI-compatible API
# also have.
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
    names.LEASE_RENEWAL_PATH,
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
EMULATORS = ("fleet_store.py", "fleet_runner.py", "fleet_cache.py")
# Header names of the OpenAI-compatible API that contain a name of the platform.
OPENAI_HEADERS = {"x-request-id"}


def product_sources() -> list[Path]:
    emulator_paths = {SOURCE / "emulator" / name for name in EMULATORS}
    paths = [path for path in SOURCE.rglob("*.py") if ADAPTER not in path.parents]
    return [path for path in paths if path not in emulator_paths]


@pytest.mark.parametrize("name", [*HEADERS, *PATHS, *FIELDS])
def test_platform_name_appears_only_in_the_adapter(name: str) -> None:
    lowered_name = name.lower()
    for path in product_sources():
        text = path.read_text().lower()
        for header in OPENAI_HEADERS:
            text = text.replace(header, "")
        assert lowered_name not in text, f"{path.relative_to(SOURCE)} knows {name!r}"


@pytest.mark.parametrize("name", [*HEADERS, *PATHS])
def test_emulators_import_the_names_from_the_adapter(name: str) -> None:
    for emulator in EMULATORS:
        text = (SOURCE / "emulator" / emulator).read_text()
        assert f'"{name}"' not in text
