"""Prints an encoded sample of each message between nodes and of each record in the store.

Run this tool with the sources of the commit whose messages are recorded, so that the code of that
commit encodes them. ``tests/fleet/test_earlier_messages.py`` decodes them with the current code:

    git archive COMMIT src | tar -x -C FOLDER
    PYTHONPATH=FOLDER/src .venv/bin/python tools/record_messages.py > tests/recorded/COMMIT.json
"""

from __future__ import annotations

import importlib
import json
import pkgutil
import sys
from types import ModuleType
from typing import Any

import msgspec
from msgspec import inspect

import hillstack.messages
import hillstack.platform.bodies
from hillstack.messages.peer_notices import PROTOCOL_VERSION

PLAIN_SAMPLES: dict[type[inspect.Type], Any] = {
    inspect.BoolType: True,
    inspect.BytesType: b"bytes",
    inspect.FloatType: 1.5,
    inspect.IntType: 3,
    inspect.StrType: "text",
    inspect.AnyType: "any",
    inspect.RawType: msgspec.Raw(b"3"),
}


def main() -> int:
    """Print the samples as JSON."""
    recorded = {
        "protocol": PROTOCOL_VERSION,
        "messages": {name: packed(kind) for name, kind in messages().items()},
        "records": {name: record(kind) for name, kind in records().items()},
    }
    json.dump(recorded, sys.stdout, indent=1, sort_keys=True)
    print()
    return 0


def messages() -> dict[str, type[msgspec.Struct]]:
    """Return all message types between nodes, by module and name."""
    found: dict[str, type[msgspec.Struct]] = {}
    for module in pkgutil.iter_modules(hillstack.messages.__path__):
        found |= structs(importlib.import_module(f"hillstack.messages.{module.name}"))
    return found


def records() -> dict[str, type[msgspec.Struct]]:
    """Return all body types that the platform adapter reads or writes."""
    return structs(hillstack.platform.bodies)


def structs(module: ModuleType) -> dict[str, type[msgspec.Struct]]:
    """Return the structs that a module defines, by module and name."""
    name = module.__name__.rpartition(".")[2]
    return {
        f"{name}.{member.__name__}": member
        for member in vars(module).values()
        if isinstance(member, type)
        and issubclass(member, msgspec.Struct)
        and member.__module__ == module.__name__
    }


def packed(kind: type[msgspec.Struct]) -> str:
    """Return a sample of a message as MessagePack, in hex."""
    return msgspec.msgpack.encode(sample(inspect.type_info(kind))).hex()


def record(kind: type[msgspec.Struct]) -> str:
    """Return a sample of a record as JSON."""
    return msgspec.json.encode(sample(inspect.type_info(kind))).decode()


def sample(kind: inspect.Type) -> Any:
    """Return a sample value of a type, with all fields set and one item per collection."""
    match kind:
        case inspect.StructType():
            return kind.cls(**{field.name: sample(field.type) for field in kind.fields})
        case inspect.UnionType():
            return sample(next(t for t in kind.types if not isinstance(t, inspect.NoneType)))
        case inspect.EnumType():
            return next(iter(kind.cls))
        case inspect.DictType():
            return {sample(kind.key_type): sample(kind.value_type)}
        case inspect.TupleType():
            return tuple(sample(item) for item in kind.item_types)
        case inspect.ListType() | inspect.VarTupleType() | inspect.SetType():
            return [sample(kind.item_type)]
    return PLAIN_SAMPLES[type(kind)]


if __name__ == "__main__":
    sys.exit(main())
