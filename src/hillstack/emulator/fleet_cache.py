"""The prompt cache of an emulated runner, with the endpoints that report its content."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

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
        events: Changes since the last restart: number, sign, salt, part, tokens, model.
        list_requests: How often the complete list was requested.
        born: Start time of the runner's process in Unix milliseconds; 0 if the runner does not
            report it.
    """

    model: str
    epoch: int = 1
    held: dict[tuple[str, str], int] = field(default_factory=dict)
    events: list[tuple[int, str, str, str, int, str]] = field(default_factory=list)
    list_requests: int = 0
    born: int = 0

    def prefill(self, salt: str, prompt_parts: str, usage: str) -> None:
        """Cache the parts of a prompt that the runner has prefilled."""
        shape = parse_shape(prompt_parts, usage)
        for part in shape.parts if shape is not None else ():
            self._change(STORED, salt, part.part_id, part.tokens)

    def drop(self, salt: str, part_id: str) -> None:
        """Evict a part from the cache."""
        self._change(EVICTED, salt, part_id, 0)

    def restart(self) -> None:
        """Clear cache and history and start a new epoch, as a restarted runner does."""
        self.epoch += 1
        self.held.clear()
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


def _json(body: object) -> Response:
    return Response(msgspec.json.encode(body), media_type="application/json")
