"""Generates bundles, example settings, fleet plans and experiments below ``deploy/``."""

from __future__ import annotations

import hashlib
import json
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent / "deploy"
EXAMPLE_PEER_KEY = "0" * 64

TAMPERE: dict[str, Any] = {
    "name": "tampere",
    "zones": ["hervanta", "lielahti", "hatanpaa"],
    "partners": [("kuitu-oy", 3.0), ("valo-oy", 2.0), ("verkko-oy", 2.0)],
    "tenants": [
        ("kuitu-housing", "kuitu-oy", 4.0),
        ("kuitu-crews", "kuitu-oy", 1.0),
        ("kuitu-support", "kuitu-oy", 1.0),
        ("valo-housing", "valo-oy", 3.0),
        ("valo-crews", "valo-oy", 1.0),
        ("verkko-housing", "verkko-oy", 3.0),
        ("verkko-crews", "verkko-oy", 1.0),
        ("verkko-support", "verkko-oy", 1.0),
    ],
    "model": "survey-reader",
    "engine_pool": "shared-models",
    "engines": 9,
    "application_pool": "booking",
    "applications": 3,
    "max_loads": 3,
    "routes": [
        ("book-visit", "POST", "/bookings", False, "normal"),
        ("read-booking", "GET", "/bookings", True, "urgent"),
        ("crew-day", "GET", "/crew-days", True, "urgent"),
    ],
    "routing": {"policy": "full", "congestion_weight": 10.0, "home_discount": 0.2},
}

LAGOS: dict[str, Any] = {
    "name": "lagos",
    "zones": ["ikeja", "lekki", "yaba"],
    "partners": [("island-team", 1.0), ("mainland-team", 1.0)],
    "tenants": [
        ("island-reviews", "island-team", 4.0),
        ("island-forms", "island-team", 1.0),
        ("island-clients", "island-team", 1.0),
        ("island-archive", "island-team", 1.0),
        ("mainland-reviews", "mainland-team", 4.0),
        ("mainland-forms", "mainland-team", 1.0),
        ("mainland-clients", "mainland-team", 1.0),
        ("mainland-archive", "mainland-team", 1.0),
    ],
    "model": "bylaw-reader",
    "engine_pool": "planning-models",
    "engines": 6,
    "application_pool": "portal",
    "applications": 3,
    "max_loads": 2,
    "routes": [
        ("file-application", "POST", "/filings", False, "normal"),
        ("status-lookup", "GET", "/filings", True, "urgent"),
        ("fee-quote", "POST", "/fee-quotes", False, "urgent"),
        ("read-fee-quote", "GET", "/fee-quotes", True, "urgent"),
    ],
    "routing": {
        "policy": "full",
        "congestion_weight": 10.0,
        "home_discount": 0.0,
        "share_fills": False,
    },
}


def demo_token(tenant: str) -> str:
    """Return the bearer token of a tenant in the demonstration; unsafe anywhere else."""
    return f"demo-key-{tenant}"


def make_bundle(deployment: dict[str, Any]) -> dict[str, Any]:
    """Return the first bundle of a deployment."""
    return {
        "version": 1,
        "deployment": deployment["name"],
        "zones": deployment["zones"],
        "block_tokens": 1000,
        "partners": [{"name": name, "share": share} for name, share in deployment["partners"]],
        "tenants": [
            {
                "name": name,
                "partner": partner,
                "weight": weight,
                "key_hash": hashlib.sha256(demo_token(name).encode()).hexdigest(),
            }
            for name, partner, weight in deployment["tenants"]
        ],
        "models": [
            {"name": deployment["model"], "pool": deployment["engine_pool"], "weights_version": 1}
        ],
        "pools": [
            {
                "name": deployment["engine_pool"],
                "kind": "engine",
                "max_concurrent_loads": deployment["max_loads"],
                "prefill_tokens_per_second": 40000.0,
                "max_running": 32,
            },
            {"name": deployment["application_pool"], "kind": "application"},
        ],
        "priorities": [
            {"name": "urgent", "level": 0, "urgent": True},
            {"name": "normal", "level": 10},
            {"name": "background", "level": 20},
        ],
        "routes": [
            {
                "name": name,
                "method": method,
                "path": path,
                "pool": deployment["application_pool"],
                "repeatable": repeatable,
                "priority": priority,
            }
            for name, method, path, repeatable, priority in deployment["routes"]
        ],
        "routing": deployment["routing"],
    }


def make_settings(deployment: dict[str, Any], number: int) -> str:
    """Return example settings of the router in the zone with this number."""
    zone = deployment["zones"][number]
    seeds = [
        f'"10.0.{other}.10:7100"' for other in range(len(deployment["zones"])) if other != number
    ]
    keys = "\n".join(f'"{name}" = "{"0" * 64}"' for name, _ in deployment["partners"])
    return f"""# Example settings of the router in zone {zone}. Replace all keys and addresses.

[node]
id = "router-{zone}-1"
region = "{deployment["name"]}"
zone = "{zone}"

[listen]
callers = "10.0.{number}.10:8100"
peers = "10.0.{number}.10:7100"

[peers]
seeds = [{", ".join(seeds)}]
key = "{EXAMPLE_PEER_KEY}"

[platform]
key_value = ["10.0.9.1:2379", "10.0.9.2:2379", "10.0.9.3:2379"]
machine_list = "10.0.9.1:2380"

[trust]
version = 1
threshold = {len(deployment["partners"])}

[trust.keys]
{keys}
"""


def make_fleet_plan(deployment: dict[str, Any]) -> dict[str, Any]:
    """Return the plan of the processes that the local demonstration starts."""
    return {
        "zones": deployment["zones"],
        "model": deployment["model"],
        "engine_pool": deployment["engine_pool"],
        "engines": deployment["engines"],
        "application_pool": deployment["application_pool"],
        "applications": deployment["applications"],
        "tenants": [name for name, _, _ in deployment["tenants"]],
        "booking_path": next(r[2] for r in deployment["routes"] if not r[3]),
        "lookup_path": next(r[2] for r in deployment["routes"] if r[3]),
    }


def make_experiment(deployment: dict[str, Any], delays: tuple[float, float]) -> str:
    """Return the experiment of a deployment, with the routing settings of its bundle."""
    routing = "\n".join(
        f"{key} = {json.dumps(value)}" for key, value in deployment["routing"].items()
    )
    return f"""# Routing of the {deployment["name"]} deployment, measured in virtual time.

deployment = "{deployment["name"]}"
engines = {deployment["engines"]}
zone_delay = {delays[0]}
client_delay = {delays[1]}

[routing]
{routing}
"""


def main() -> None:
    """Write the files of both deployments."""
    for deployment, delays in ((TAMPERE, (0.0015, 0.003)), (LAGOS, (0.001, 0.001))):
        folder = ROOT / deployment["name"]
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "bundle.json").write_text(json.dumps(make_bundle(deployment), indent=2) + "\n")
        (folder / "fleet.json").write_text(json.dumps(make_fleet_plan(deployment), indent=2) + "\n")
        (folder / "experiment.toml").write_text(make_experiment(deployment, delays))
        for number, zone in enumerate(deployment["zones"]):
            (folder / f"router-{zone}.toml").write_text(make_settings(deployment, number))


if __name__ == "__main__":
    main()
