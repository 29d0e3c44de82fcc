from __future__ import annotations

from pathlib import Path

import pytest
from make_configuration_page import PAGE, render
from typer.testing import CliRunner

from hillstack.cli.main import app
from hillstack.config.bundle import parse_bundle
from hillstack.config.settings import load_settings
from hillstack.errors import SettingsError

ROOT = Path(__file__).resolve().parents[2]
EXAMPLES = sorted(ROOT.glob("deploy/*/router-*.toml"))
EXAMPLE = EXAMPLES[0]


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.name)
def test_example_settings_are_valid(path: Path) -> None:
    assert load_settings(path).node.zone in path.name


@pytest.mark.parametrize("path", sorted(ROOT.glob("deploy/*/bundle.json")), ids=str)
def test_example_bundles_are_valid(path: Path) -> None:
    assert parse_bundle(path.read_text(), str(path)).version == 1


@pytest.mark.parametrize(
    ("overrides", "word"),
    [
        ({"node.zome": "x"}, "node.zome"),
        ({"listen.callers": "host.example:80"}, "listen.callers"),
        ({"listen.callers": "127.0.0.1"}, "IP:PORT"),
        ({"limits.max_body_bytes": "-1"}, "limits.max_body_bytes"),
        ({"nosection": "x"}, "section.name"),
    ],
)
def test_bad_settings_name_the_key(overrides: dict[str, str], word: str) -> None:
    with pytest.raises(SettingsError, match=word):
        load_settings(EXAMPLE, overrides)


def test_bad_settings_exit_with_2_and_name_file_key_and_reason(tmp_path: Path) -> None:
    path = tmp_path / "router.toml"
    path.write_text(EXAMPLE.read_text().replace("zone =", "zome ="))
    result = CliRunner().invoke(app, ["router", "--settings", str(path)])
    assert result.exit_code == 2
    assert str(path) in result.output
    assert "node.zone" in result.output


def test_a_missing_file_exits_with_2(tmp_path: Path) -> None:
    result = CliRunner().invoke(app, ["router", "--settings", str(tmp_path / "none.toml")])
    assert result.exit_code == 2


def test_check_accepts_a_valid_file() -> None:
    result = CliRunner().invoke(app, ["router", "--settings", str(EXAMPLE), "--check"])
    assert result.exit_code == 0


@pytest.mark.parametrize(
    "command",
    [
        [],
        ["router"],
        ["status"],
        ["emulator", "engine"],
        ["emulator", "application"],
        ["emulator", "platform"],
        *(
            ["bundle", name]
            for name in (
                "init",
                "keygen",
                "validate",
                "diff",
                "next",
                "sign",
                "rollout",
                "status",
                "history",
                "fetch",
            )
        ),
    ],
    ids=" ".join,
)
def test_every_command_has_help(command: list[str]) -> None:
    result = CliRunner().invoke(app, [*command, "--help"])
    assert result.exit_code == 0


def test_the_configuration_page_is_up_to_date() -> None:
    assert PAGE.read_text() == render(), "run tools/make_configuration_page.py"
