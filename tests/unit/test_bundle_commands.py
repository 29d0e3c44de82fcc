"""Bundle commands that work without the platform, and their exit codes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from hillstack.cli.main import app

RUNNER = CliRunner()


def run(*arguments: str) -> dict[str, object]:
    result = RUNNER.invoke(app, ["bundle", *arguments, "--output", "json"])
    assert result.exit_code == 0, result.output
    content: dict[str, object] = json.loads(result.output)
    return content


@pytest.fixture
def bundle(tmp_path: Path) -> Path:
    path = tmp_path / "one.json"
    run("init", str(path), "--deployment", "test", "--zones", "a,b,c")
    return path


def test_a_new_bundle_is_valid_and_its_child_names_it(bundle: Path, tmp_path: Path) -> None:
    digest = run("validate", str(bundle))["digest"]
    child = tmp_path / "two.json"
    assert run("next", str(bundle), str(child))["version"] == 2
    assert json.loads(child.read_text())["parent_digest"] == digest
    assert run("diff", str(bundle), str(child))["equal"] is False


def test_init_does_not_overwrite(bundle: Path) -> None:
    arguments = ["bundle", "init", str(bundle), "--deployment", "test", "--zones", "a"]
    assert RUNNER.invoke(app, arguments).exit_code == 2


def test_partners_sign_one_after_the_other(bundle: Path, tmp_path: Path) -> None:
    signed = tmp_path / "signed.json"
    for partner in ("alpha", "beta", "alpha"):
        key = tmp_path / f"{partner}.key"
        if not key.exists():
            run("keygen", partner, "--private", str(key))
            assert key.stat().st_mode & 0o077 == 0
        arguments = ("sign", str(bundle), "--signed", str(signed))
        result = run(*arguments, "--partner", partner, "--private", str(key))
    assert result["signed_by"] == ["beta", "alpha"]


def test_an_unsigned_bundle_is_refused_before_the_platform_is_contacted(
    bundle: Path, tmp_path: Path
) -> None:
    keyset = tmp_path / "keyset.json"
    keyset.write_text(json.dumps({"version": 1, "threshold": 1, "keys": {"alpha": "0" * 64}}))
    canonical = json.dumps(json.loads(bundle.read_text()), sort_keys=True, separators=(",", ":"))
    signed = tmp_path / "signed.json"
    signed.write_text(json.dumps({"payload": canonical}))
    # Nothing listens on port 1: the bundle must be refused before the platform is contacted.
    arguments = ["bundle", "rollout", str(signed), "--keyset", str(keyset)]
    result = RUNNER.invoke(app, [*arguments, "--platform", "127.0.0.1:1"])
    assert result.exit_code == 3


def test_an_unreachable_platform_has_its_own_exit_code() -> None:
    result = RUNNER.invoke(app, ["bundle", "status", "--platform", "127.0.0.1:1"])
    assert result.exit_code == 5
