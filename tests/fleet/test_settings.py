"""Settings of a fleet node, and the template and files of its deployment."""

from __future__ import annotations

import math
import tomllib
from pathlib import Path

import pytest

from hillstack.config.fleet_settings import load_fleet_settings
from hillstack.core.tenant_limits import LimitTolerance
from hillstack.core.topology import Distance
from hillstack.errors import SettingsError

GOOD = """
[node]
id = "node-1"
zone = "a"
address = "10.1.0.30"
[listen]
callers = "10.1.0.30:8782"
readiness = "10.1.0.30:8789"
peers_port = 7340
[store]
address = "10.200.1.7:8784"
"""


def write(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "node.toml"
    path.write_text(text)
    return path


def test_defaults_and_unknown_keys(tmp_path: Path) -> None:
    settings = load_fleet_settings(write(tmp_path, GOOD + "[later]\nx = 1\n"))
    assert settings.node.id == "node-1"
    assert settings.freshness_bound() == math.inf


def test_fail_closed_bounds_the_age_of_trusted_keys(tmp_path: Path) -> None:
    text = GOOD + "[bounds]\nfail_closed = true\nrevoke_ms = 5000\n"
    assert 0 < load_fleet_settings(write(tmp_path, text)).freshness_bound() < 5.0


def test_changes_are_polled_four_times_within_the_shorter_bound(tmp_path: Path) -> None:
    path = write(tmp_path, GOOD + "\n[bounds]\nconfig_apply_ms = 3000\ndrain_ms = 4000\n")
    assert load_fleet_settings(path).store_poll_interval() == 0.75


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('id = "node-1"', 'id = ""', "node.id"),
        ("peers_port = 7340", "peers_port = 99999", "peers_port"),
        ('callers = "10.1.0.30:8782"', 'callers = "somewhere"', "somewhere"),
        ("[store]", "[stores]", "store"),
        ("[node]", "[node", "TOML"),
    ],
)
def test_the_error_names_the_invalid_value(tmp_path: Path, old: str, new: str, named: str) -> None:
    with pytest.raises(SettingsError, match=named):
        load_fleet_settings(write(tmp_path, GOOD.replace(old, new)))


def test_the_error_names_the_missing_file(tmp_path: Path) -> None:
    with pytest.raises(SettingsError, match=r"none\.toml"):
        load_fleet_settings(tmp_path / "none.toml")


def test_the_deploy_template_has_all_sections() -> None:
    template = Path(__file__).parents[2] / "deploy" / "node.toml.template"
    text = template.read_text()
    for section in ("[node]", "[listen]", "[store]", "[bounds]"):
        assert section in text
    assert text.count("{{#") == text.count("{{/")


def test_the_deploy_file_refers_to_existing_files() -> None:
    root = Path(__file__).parents[2]
    deploy = tomllib.loads((root / "deploy" / "system.toml").read_text())
    for role in deploy["roles"].values():
        assert (root / role["template"]).is_file()
        module = role["run"].split()[-1]
        assert (root / "src" / (module.replace(".", "/") + ".py")).is_file()


def test_fleet_requirements_are_pinned_as_in_the_project() -> None:
    root = Path(__file__).parents[2]
    pinned = {
        line.strip()
        for line in (root / "requirements.txt").read_text().splitlines()
        if "==" in line
    }
    wanted = {
        line.strip()
        for line in (root / "deploy" / "requirements.txt").read_text().splitlines()
        if "==" in line
    }
    assert wanted and wanted <= pinned


def test_the_tolerance_of_limits(tmp_path: Path) -> None:
    bounds = "[bounds]\nlimit_overshoot = 0.1\nlimit_slack = 110000\nlimit_window_seconds = 8\n"
    settings = load_fleet_settings(write(tmp_path, GOOD + bounds))
    assert settings.bounds.limit_tolerance() == LimitTolerance(8.0, 0.1, 110_000.0)
    with pytest.raises(SettingsError, match="limit_slack"):
        load_fleet_settings(write(tmp_path, GOOD + "[bounds]\nlimit_slack = -1\n"))


def test_settings_assign_zones_to_regions(tmp_path: Path) -> None:
    text = GOOD.replace('zone = "a"', 'zone = "a"\nregion = "north"')
    text += '\n[zones]\na = "north"\nb = "north"\nc = "south"\n'
    topology = load_fleet_settings(write(tmp_path, text)).topology()
    assert topology.has_regions()
    assert topology.distance("a", "a") is Distance.SAME_ZONE
    assert topology.distance("a", "b") is Distance.SAME_REGION
    assert topology.distance("b", "c") is Distance.OTHER_REGION


def test_without_regions_all_zones_are_in_the_same_region(tmp_path: Path) -> None:
    topology = load_fleet_settings(write(tmp_path, GOOD)).topology()
    assert not topology.has_regions()
    assert topology.distance("a", "b") is Distance.SAME_REGION
