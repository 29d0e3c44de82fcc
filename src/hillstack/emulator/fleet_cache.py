"""The prompt cache of an emulated runner, with the endpoints that report its content."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hillstack.core.part_index import PromptPart
from hillstack.platform import names
from hillstack.platform.bodies import CacheEventsBody, CacheListBody
from hillstack.platform.formats import parse_shape

POLL_SECONDS = 0.01
STORED = "+"
EVICTED = "-"


@dataclass(slots=True)
class FleetCache:
    """Cached prompt parts by salt, and the history of changes to them.

    Attributes:
        epoch: Incarnation number of the cache, which rises with each restart.
        held: Length in tokens of each cached part, by salt and part.
        made_by: Version of the weights that made each cached part, which no message reveals.
        events: Changes since the last restart: number, sign, salt, part, tokens, model.
        list_requests: How often the complete list was requested.
        born: Start time of the runner's process in Unix milliseconds; 0 if the runner does not
            report it.
    """

    model: str
    epoch: int = 1
    held: dict[tuple[str, str], int] = field(default_factory=dict)
    made_by: dict[tuple[str, str], int] = field(default_factory=dict)
    events: list[tuple[int, str, str, str, int, str]] = field(default_factory=list)
    list_requests: int = 0
    born: int = 0

    def prefill(self, salt: str, prompt_parts: str, usage: str, version: int = 0) -> None:
        """Cache the parts of a prompt that the runner has prefilled.

        Args:
            salt: Salt of the request.
            prompt_parts: Parts of the prompt, as the request names them.
            usage: Tokens of the prompt and of the answer, as the request names them.
            version: Version of the weights that make the parts which the cache lacks.
        """
        for part in _parts(prompt_parts, usage):
            self.made_by.setdefault((salt, part.part_id), version)
            self._change(STORED, salt, part.part_id, part.tokens)

    def fetch(self, source: FleetCache, salt: str, prompt_parts: str, usage: str) -> None:
        """Take the leading parts of a prompt that this cache lacks from another one."""
        for part in _parts(prompt_parts, usage):
            key = (salt, part.part_id)
            if key in self.held:
                continue
            if key not in source.held:
                return
            self.made_by[key] = source.made_by.get(key, 0)
            self._change(STORED, salt, part.part_id, source.held[key])

    def makers(self, salt: str, prompt_parts: str, usage: str) -> frozenset[int]:
        """Return the versions of the weights that made the cached parts of a prompt."""
        keys = [(salt, part.part_id) for part in _parts(prompt_parts, usage)]
        return frozenset(self.made_by[key] for key in keys if key in self.held)

    def drop_all(self) -> None:
        """Evict everything, as a runner does when it loads weights."""
        for salt, part_id in list(self.held):
            self.drop(salt, part_id)

    def drop(self, salt: str, part_id: str) -> None:
        """Evict a part from the cache."""
        self._change(EVICTED, salt, part_id, 0)

    def restart(self) -> None:
        """Clear cache and history and start a new epoch, as a restarted runner does."""
        self.epoch += 1
        self.held.clear()
        self.made_by.clear()
        self.events.clear()

    def routes(self) -> list[Route]:
        """Return the HTTP routes that report the cache."""
        return [
            Route(names.CACHE_LIST_PATH, self._list),
            Route(names.CACHE_EVENTS_PATH, self._changes),
        ]

    def _change(self, sign: str, salt: str, part_id: str, tokens: int) -> None:
        if tokens:
            self.held[salt, part_id] = tokens
        else:
            self.held.pop((salt, part_id), None)
            self.made_by.pop((salt, part_id), None)
        self.events.append((len(self.events) + 1, sign, salt, part_id, tokens, self.model))

    async def _list(self, request: Request) -> Response:
        self.list_requests += 1
        held = [(salt, part, tokens, self.model) for (salt, part), tokens in self.held.items()]
        return _json(CacheListBody(self.epoch, len(self.events), held, self.born))

    async def _changes(self, request: Request) -> Response:
        since = int(request.query_params[names.SINCE_PARAMETER])
        polls = int(request.headers.get(names.WAIT_HEADER, "0")) / 1000 / POLL_SECONDS
        while polls > 0 and len(self.events) <= since:
            await asyncio.sleep(POLL_SECONDS)
            polls -= 1
        events = self.events[since:]
        return _json(CacheEventsBody(self.epoch, len(self.events), False, events, self.born))


def _parts(prompt_parts: str, usage: str) -> Sequence[PromptPart]:
    shape = parse_shape(prompt_parts, usage)
    return shape.parts if shape is not None else ()


def _json(body: object) -> Response:
    return Response(msgspec.json.encode(body), media_type="application/json")
