"""Configuration of a routing experiment, read from a TOML file."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hillstack.config.bundle import Admission, Routing, describe_validation
from hillstack.errors import SettingsError

PolicyName = Literal["round_robin", "least_loaded", "prefix_hash", "cache_aware", "full", "oracle"]
FailureName = Literal["none", "engine_crash", "router_herd", "event_loss", "zone_cut"]


class ExperimentConfig(BaseModel):
    """One experiment: a fleet, a workload, policies and loads.

    Attributes:
        loads: Offered load as a share of the capacity. The capacity is measured first: the highest
            rate at which the oracle serves 99 of 100 requests and sends 95 of 100 first tokens
            within 1 s.
        event_loss: Share of cache event batches lost; a replay closes the gap later.
        failure: Failure injected in the middle third of the run.
        flood_tenant: Tenant that sends ten times its usual rate; empty for none.
        obey_retry_after: Whether callers send a refused request again, once, after the time in
            ``Retry-After``.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    deployment: Literal["tampere", "lagos"]
    engines: int = Field(gt=0)
    routers: int = Field(default=3, gt=0)
    zones: int = Field(default=3, gt=0)
    cache_blocks: int = Field(default=200, gt=0)
    prefill_rate: float = Field(default=40_000.0, gt=0)
    max_running: int = Field(default=32, gt=0)
    block_tokens: int = Field(default=1_000, gt=0)
    seconds: float = Field(default=60.0, gt=0)
    warm_up_seconds: float = Field(default=10.0, ge=0)
    seeds: tuple[int, ...] = (1, 2, 3)
    loads: tuple[float, ...] = (0.6, 0.8, 0.95, 1.1)
    policies: tuple[PolicyName, ...] = (
        "round_robin",
        "least_loaded",
        "prefix_hash",
        "cache_aware",
        "full",
        "oracle",
    )
    zone_delay: float = Field(default=0.0015, ge=0)
    client_delay: float = Field(default=0.003, ge=0)
    event_delay: float = Field(default=0.05, ge=0)
    event_loss: float = Field(default=0.01, ge=0, le=1)
    load_interval: float = Field(default=0.5, gt=0)
    load_lag: float = Field(default=0.2, ge=0)
    deadline_seconds: float = Field(default=30.0, gt=0)
    failure: FailureName = "none"
    flood_tenant: str = ""
    obey_retry_after: bool = False
    admission: Admission = Admission()
    routing: Routing = Routing()


def load_experiment(path: Path) -> ExperimentConfig:
    """Read and validate an experiment file.

    Raises:
        SettingsError: The file is unreadable or invalid; the text names file, key and reason.
    """
    try:
        content = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}", step="read experiment") from error
    try:
        return ExperimentConfig.model_validate(content)
    except ValidationError as error:
        text = f"{path}: {describe_validation(error)}"
        raise SettingsError(text, step="check experiment") from error
