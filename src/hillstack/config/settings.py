"""Settings of one router, read from a TOML file."""

from __future__ import annotations

import ipaddress
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from hillstack.config.bundle import Keyset, Name, describe_validation
from hillstack.errors import SettingsError


def check_address(value: str) -> str:
    """Return the value if it is ``IP:PORT`` with an IP number; host names are refused."""
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{value!r} is not IP:PORT")
    ipaddress.ip_address(host.strip("[]"))
    return value


Address = Annotated[str, AfterValidator(check_address)]


class Section(BaseModel):
    """Base of all settings sections: unknown keys are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSection(Section):
    """Who this node is."""

    id: Name = Field(description="Identifier of the node, unique in the deployment.")
    region: Name = Field(description="Region of the node.")
    zone: Name = Field(description="Zone of the node; must be a zone of the bundle.")


class ListenSection(Section):
    """Where this node listens."""

    callers: Address = Field(description="HTTP address for callers and operators.")
    peers: Address = Field(description="UDP and TCP address for other nodes.")


class PeersSection(Section):
    """How this node meets other nodes."""

    seeds: tuple[Address, ...] = Field(default=(), description="Peer addresses asked at start.")
    key: str = Field(
        pattern=r"^[0-9a-f]{64}$", description="Shared key that authenticates peer messages, hex."
    )
    probe_interval_seconds: float = Field(
        default=0.5, gt=0, description="Interval between membership probes."
    )
    suspect_seconds: float = Field(
        default=3.0, gt=0, description="How long a suspect member may refute before it is dead."
    )


class PlatformSection(Section):
    """Where the platform's services are."""

    key_value: tuple[Address, ...] = Field(description="Key-value service (etcd v3 JSON gateway).")
    machine_list: Address = Field(description="HTTP address of the machine list.")
    machine_poll_seconds: float = Field(default=1.0, gt=0, description="Machine list interval.")
    bundle_poll_seconds: float = Field(
        default=2.0, gt=0, description="Interval of reads of the head beside the watch."
    )


class BackendsSection(Section):
    """How this node watches back ends."""

    load_poll_seconds: float = Field(default=0.5, gt=0, description="Load page interval.")
    connect_timeout_seconds: float = Field(default=1.0, gt=0, description="TCP connect limit.")
    silence_timeout_seconds: float = Field(
        default=15.0, gt=0, description="Longest gap between two pieces of a stream."
    )


class LimitsSection(Section):
    """Limits on what callers may send."""

    max_body_bytes: int = Field(default=4_000_000, gt=0, description="Largest request body.")
    max_header_bytes: int = Field(default=16_384, gt=0, description="Largest header section.")
    max_answer_bytes: int = Field(
        default=8_000_000, gt=0, description="Largest whole answer of a back end."
    )
    default_deadline_seconds: float = Field(
        default=600.0,
        gt=0,
        description="Deadline of a request that names none, the end of its stream included.",
    )
    max_deadline_seconds: float = Field(default=3_600.0, gt=0, description="Longest deadline.")


class StopSection(Section):
    """How a planned stop runs."""

    linger_seconds: float = Field(
        default=2.0, ge=0, description="How long new connections are still taken after SIGTERM."
    )
    keep_alive_seconds: float = Field(
        default=5.0, gt=0, description="How long an idle connection is kept open."
    )


class LogSection(Section):
    """Logging."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        default="INFO", description="Least severe level that is logged."
    )


class RouterSettings(Section):
    """All settings of ``hillstack router``."""

    node: NodeSection
    listen: ListenSection
    peers: PeersSection
    platform: PlatformSection
    trust: Keyset = Field(description="Root keyset: version, threshold and public keys.")
    backends: BackendsSection = BackendsSection()
    limits: LimitsSection = LimitsSection()
    stop: StopSection = StopSection()
    log: LogSection = LogSection()


def load_settings(path: Path, overrides: dict[str, str] | None = None) -> RouterSettings:
    """Read and check a settings file.

    Args:
        path: The TOML file.
        overrides: Values by dotted key; they replace the values in the file.

    Raises:
        SettingsError: The file can't be read or is invalid; the message gives file, key and
            reason.
    """
    try:
        content: dict[str, Any] = tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}", step="read settings") from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: not TOML: {error}", step="read settings") from error
    for key, value in (overrides or {}).items():
        _override(content, key, value)
    try:
        return RouterSettings.model_validate(content)
    except ValidationError as error:
        text = f"{path}: {describe_validation(error)}"
        raise SettingsError(text, step="check settings") from error


def _override(content: dict[str, Any], key: str, value: str) -> None:
    section, _, name = key.partition(".")
    table = content.setdefault(section, {})
    if not name or not isinstance(table, dict):
        raise SettingsError(f"{key}: not a key of the form section.name", step="read flags")
    table[name] = value
