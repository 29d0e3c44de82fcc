"""Settings of the tests that run state machines."""

from __future__ import annotations

import gc
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def collect_garbage_of_earlier_tests() -> Iterator[None]:
    """Collect the garbage of earlier tests before each test.

    A coroutine that is freed while Python source is parsed makes the parser fail.
    """
    gc.collect()
    yield
