"""Generates docs/CONFIGURATION.md from the schemas; a test checks that the page is up to date."""

from __future__ import annotations

import inspect
import sys
from pathlib import Path
from typing import get_args

import msgspec
from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from hillstack.config import bundle
from hillstack.config.fleet_settings import FleetSettings
from hillstack.config.settings import RouterSettings
from hillstack.simulation.experiment_config import ExperimentConfig

PAGE = Path(__file__).resolve().parent.parent / "docs" / "CONFIGURATION.md"
# Sections in the settings of a fleet's node whose keys the operator chooses.
NAMED_MAPS = {"zones": "Region of each zone; none where a deployment has one region only."}
BUNDLE_MODELS: tuple[type[BaseModel], ...] = (
    bundle.Bundle,
    bundle.Partner,
    bundle.Tenant,
    bundle.Model,
    bundle.Adapter,
    bundle.Pool,
    bundle.Priority,
    bundle.Route,
    bundle.Routing,
    bundle.Admission,
    bundle.Retries,
    bundle.Claims,
    bundle.Staleness,
    bundle.Keyset,
)

INTRODUCTION = """# Configuration

Written by `tools/make_configuration_page.py` from the schemas; a test compares them.

A router reads one TOML file (`hillstack router --settings FILE`); `--set section.name=value`
overrides a value. Nothing is read from the environment. Addresses are IP numbers. An unknown key
or a bad value ends the program with exit code 2 and a line that names file, key and reason.

All that the operators decide together stands in the bundle instead, and changes only by a new
version that the partners have signed.
"""


FLEET_INTRODUCTION = """## Settings of a fleet's node

`hillstack fleet run --settings FILE`. Unknown keys are passed over, since the platform that fills
the file may add some; a bad value is an error as above.
"""


def main() -> int:
    """Write the page."""
    PAGE.write_text(render())
    return 0


def render() -> str:
    """Return the text of the page."""
    parts = [INTRODUCTION, "## Settings of a router\n"]
    for name, field in RouterSettings.model_fields.items():
        section = field.annotation
        assert isinstance(section, type)
        parts.append(f"### `[{name}]`\n\n{_summary(section)}\n\n{_table(section)}\n")
    parts.append(FLEET_INTRODUCTION)
    for entry in msgspec.structs.fields(FleetSettings):
        if entry.name in NAMED_MAPS:
            parts.append(f"### `[{entry.name}]` (fleet)\n\n{NAMED_MAPS[entry.name]}\n")
        else:
            parts.append(_struct_section(entry.name, entry.type))
    parts.append("## Bundle\n")
    parts += [_model_section(kind) for kind in BUNDLE_MODELS]
    parts.append("## Experiment\n")
    parts.append(_model_section(ExperimentConfig))
    return "\n".join(parts)


def _struct_section(name: str, kind: type[msgspec.Struct]) -> str:
    """Return a section whose keys are documented in the doc comment of its struct."""
    meanings = _attribute_texts(kind)
    lines = ["| key | type | default | meaning |", "|---|---|---|---|"]
    for entry in msgspec.structs.fields(kind):
        default = "required" if entry.required else f"`{entry.default}`"
        member_type = (get_args(entry.type) or (entry.type,))[0]
        member_type = (get_args(member_type) or (member_type,))[0]
        type_name = (
            type(member_type).__name__ if isinstance(member_type, str) else member_type.__name__
        )
        lines.append(f"| `{entry.name}` | `{type_name}` | {default} | {meanings[entry.name]} |")
    return f"### `[{name}]` (fleet)\n\n{_summary(kind)}\n\n" + "\n".join(lines) + "\n"


def _attribute_texts(kind: type[object]) -> dict[str, str]:
    text = inspect.cleandoc(kind.__doc__ or "").partition("Attributes:\n")[2]
    texts: dict[str, str] = {}
    for line in text.splitlines():
        name, _, meaning = line.strip().partition(": ")
        texts[name] = meaning
    return texts


def _model_section(kind: type[BaseModel]) -> str:
    text = inspect.cleandoc(kind.__doc__ or "")
    for heading in ("Args:", "Attributes:"):
        text = text.replace(f"{heading}\n", "\n")
    lines = [line.strip() for line in text.splitlines()]
    return f"### {kind.__name__}\n\n" + "\n".join(lines) + f"\n\n{_table(kind)}\n"


def _summary(kind: type[object]) -> str:
    return inspect.cleandoc(kind.__doc__ or "").splitlines()[0]


def _table(kind: type[object]) -> str:
    assert issubclass(kind, BaseModel)
    lines = ["| key | type | default | meaning |", "|---|---|---|---|"]
    for name, field in kind.model_fields.items():
        meaning = field.description or ""
        lines.append(f"| `{name}` | {_type(field)} | {_default(field)} | {meaning} |")
    return "\n".join(lines)


def _type(field: FieldInfo) -> str:
    annotation = field.annotation
    text = annotation.__name__ if isinstance(annotation, type) else str(annotation)
    if text.startswith("tuple") or "[" in str(annotation):
        text = str(annotation)
    for prefix in ("typing.", "hillstack.config.bundle.", "hillstack.config.settings."):
        text = text.replace(prefix, "")
    if "Annotated[" in text:
        text = text.split("Annotated[", 1)[0] + "str" + ", ...]" * text.startswith("tuple")
    return f"`{text}`".replace("|", "or")


def _default(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return "required"
    if isinstance(field.default, BaseModel):
        return "see below"
    return f"`{field.default}`"


if __name__ == "__main__":
    sys.exit(main())
