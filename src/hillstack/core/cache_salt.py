"""The salt under which runners cache the parts of a prompt."""

from __future__ import annotations

import functools
from typing import NamedTuple

from hillstack.decoding import parse_whole_number

SHARED = "shared"


class CacheSalt(NamedTuple):
    """What separates cached parts that must not be mixed.

    Attributes:
        isolation: ``shared``, or the tenant whose parts are shared with no other.
        model: The model.
        version: Weights version for which the requests were sent.
    """

    isolation: str
    model: str
    version: int

    def text(self) -> str:
        """Return the salt as runners receive it."""
        return f"{self.isolation}|{self.model}|{self.version}"


def make_salt(isolated_tenant: str | None, model: str, version: int) -> CacheSalt:
    """Return the salt of a request.

    Args:
        isolated_tenant: Name of the request's tenant if it shares no parts; else None.
        model: The model.
        version: Weights version on which the request begins.
    """
    isolation = SHARED if isolated_tenant is None else f"t:{isolated_tenant}"
    return CacheSalt(isolation, model, version)


@functools.lru_cache(maxsize=1_024)
def parse_salt(text: str) -> CacheSalt | None:
    """Return the salt with a text; None if it was not made by ``CacheSalt.text``."""
    rest, _, version = text.rpartition("|")
    isolation, separator, model = rest.rpartition("|")
    number = parse_whole_number(version)
    if not separator or number is None:
        return None
    return CacheSalt(isolation, model, number)
