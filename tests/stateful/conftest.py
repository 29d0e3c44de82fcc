"""Settings of the state machines' tests."""

from __future__ import annotations

import gc
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def no_garbage_of_earlier_tests() -> Iterator[None]:
    """Free what earlier tests left: a coroutine freed while a source is parsed fails the parser."""
    gc.collect()
    yield
