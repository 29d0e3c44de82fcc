"""Tests the compatibility with messages and store records of earlier builds.

The current code must read the samples of earlier builds and write data that those builds can read.
New fields are therefore appended with a default that is also right for an earlier sender, and no
field changes its position or its meaning (``docs/design/builds-side-by-side.md``). Each sample was
written by the code of its commit (``tools/record_messages.py``). Samples never change.
"""

from __future__ import annotations

import importlib
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from hillstack.errors import CodecError
from hillstack.messages import peer_notices
from hillstack.messages.peer_notices import PROTOCOL_VERSION

RECORDED = Path(__file__).parents[1] / "recorded"
FILES = {path.stem: json.loads(path.read_text()) for path in sorted(RECORDED.glob("*.json"))}
SAME_PROTOCOL = {c: r for c, r in FILES.items() if r["protocol"] == PROTOCOL_VERSION}
MESSAGES = [(c, name) for c, recorded in SAME_PROTOCOL.items() for name in recorded["messages"]]
RECORDS = [(commit, name) for commit, recorded in FILES.items() for name in recorded["records"]]
# Structs that are sent only as part of a message, and the base class of all messages.
EMBEDDED_STRUCTS = {
    "limit_messages.TenantGrant",
    "limit_messages.TokenNeed",
    "packing.PackedMessage",
    "peer_notices.AnnouncementNotice",
    "peer_notices.CacheNotice",
    "peer_notices.LimitNotice",
    "peer_notices.LoadNotice",
    "peer_notices.PlacementNotice",
    "peer_notices.WeightsNotice",
    "relay_batches.ZoneLoads",
    "rollout_reports.OutcomeCounts",
    "reach_messages.TargetReach",
    "runner_ends.PartAtEnd",
    "runner_ends.RequestAtEnd",
    "store_changes.NamedWeights",
}
# All integers in the samples are 3, including the protocol version.
SAMPLE_PROTOCOL = 3


def kind_of(package: str, name: str) -> type[msgspec.Struct]:
    """Return the current struct for a recorded name of the form ``module.Class``."""
    module, _, struct = name.partition(".")
    found: type[msgspec.Struct] = getattr(importlib.import_module(f"{package}.{module}"), struct)
    return found


def starts_with(later: Any, earlier: Any) -> bool:
    """Return whether a value equals an earlier value except for fields that were appended."""
    if isinstance(earlier, list):
        return (
            isinstance(later, list)
            and len(later) >= len(earlier)
            and all(map(starts_with, later, earlier))
        )
    if isinstance(earlier, dict):
        return isinstance(later, dict) and all(
            key in later and starts_with(later[key], value) for key, value in earlier.items()
        )
    return bool(later == earlier)


def test_there_are_samples_of_this_protocol_version() -> None:
    assert SAME_PROTOCOL
    assert min(recorded["protocol"] for recorded in FILES.values()) >= 3


@pytest.mark.parametrize(("commit", "name"), MESSAGES)
def test_a_message_of_an_earlier_build_is_read_and_written_as_before(
    commit: str, name: str
) -> None:
    sample = bytes.fromhex(FILES[commit]["messages"][name])
    kind = kind_of("hillstack.messages", name)
    read = msgspec.msgpack.decode(sample, type=kind)
    assert starts_with(
        msgspec.msgpack.decode(msgspec.msgpack.encode(read)), msgspec.msgpack.decode(sample)
    )


@pytest.mark.parametrize(("commit", "name"), RECORDS)
def test_a_record_of_an_earlier_build_is_read_and_written_as_before(commit: str, name: str) -> None:
    sample = FILES[commit]["records"][name].encode()
    read = msgspec.json.decode(sample, type=kind_of("hillstack.platform", name))
    assert starts_with(msgspec.json.decode(msgspec.json.encode(read)), msgspec.json.decode(sample))


@pytest.mark.parametrize(("commit", "name"), MESSAGES)
def test_new_fields_of_a_message_have_a_default(commit: str, name: str) -> None:
    """Messages of an earlier sender do not contain fields that were added later."""
    count = len(msgspec.msgpack.decode(bytes.fromhex(FILES[commit]["messages"][name])))
    fields = msgspec.structs.fields(kind_of("hillstack.messages", name))
    assert not any(field.required for field in fields[count:])


@pytest.mark.parametrize("commit", [c for c in FILES if c not in SAME_PROTOCOL])
def test_a_notice_of_another_protocol_version_is_rejected(commit: str) -> None:
    """Positions of fields differ between protocol versions.

    Nodes with different protocol versions exchange data only through the store.
    """
    sample = bytes.fromhex(FILES[commit]["messages"]["peer_notices.NodeNotice"])
    assert msgspec.msgpack.decode(sample)[0] == SAMPLE_PROTOCOL
    with pytest.raises(CodecError):
        peer_notices.decode(sample, "10.0.0.1")


def test_the_design_page_lists_each_top_level_message() -> None:
    page = (Path(__file__).parents[2] / "docs" / "design" / "builds-side-by-side.md").read_text()
    top_level = {
        name for recorded in FILES.values() for name in recorded["messages"]
    } - EMBEDDED_STRUCTS
    assert top_level
    for name in top_level:
        assert f"`{name.partition('.')[2]}`" in page, name


def test_the_comparison_detects_incompatible_changes() -> None:
    assert starts_with([1, [2, 3, 9], {"a": 1, "b": 2}, 4], [1, [2, 3], {"a": 1}])
    for later in ([1], [1, [3, 2], {"a": 1}], [1, [2, 3], {"b": 1}], [1, [2], {"a": 1}], [0, 1, 2]):
        assert not starts_with(later, [1, [2, 3], {"a": 1}])
