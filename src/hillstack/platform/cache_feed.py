"""Calls that tell which parts of prompts a runner, or a store of kept KV cache, keeps."""

from __future__ import annotations

from typing import TypeVar

import aiohttp
import msgspec

from hillstack.core.cache_watch import CacheHolder
from hillstack.core.part_index import PromptPart
from hillstack.daemon.cache_follower import CacheChanges, CacheEntry, CacheListing
from hillstack.errors import BackendError, BackendRefusedError
from hillstack.platform import names
from hillstack.platform.bodies import CacheEventsBody, CacheListBody
from hillstack.platform.connections import Question, ask
from hillstack.platform.incarnations import check_process, instance_of

OK = 200
# A list of thousands of parts, at a runner that is at work.
LIST_LIMIT_SECONDS = 1.5
# Beyond the time that a holder may hold a question back.
ANSWER_LIMIT_SECONDS = 0.7

Body = TypeVar("Body")


class HttpCacheFeed:
    """Asks holders what they keep.

    Args:
        session: HTTP session of ``make_runner_session``; not closed here.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def listing(self, holder: CacheHolder) -> CacheListing:
        """Return all that a holder keeps.

        Raises:
            BackendError: It can't be had.
        """
        question = Question(
            "GET", holder.address, names.CACHE_LIST_PATH, LIST_LIMIT_SECONDS, _headers(holder)
        )
        body = await self._ask(question, CacheListBody)
        _check_process(holder, body.born)
        entries = [
            CacheEntry(salt, PromptPart(part_id, tokens)) for salt, part_id, tokens, _ in body.held
        ]
        return CacheListing(body.epoch, body.next_token, entries)

    async def changes(self, holder: CacheHolder, since: int, wait_seconds: float) -> CacheChanges:
        """Return the changes since a number, waiting for one for a while.

        Raises:
            BackendError: They can't be had.
        """
        path = f"{names.CACHE_EVENTS_PATH}?{names.SINCE_PARAMETER}={since}"
        headers = _headers(holder) | {names.WAIT_HEADER: str(int(wait_seconds * 1000))}
        limit = wait_seconds + ANSWER_LIMIT_SECONDS
        body = await self._ask(
            Question("GET", holder.address, path, limit, headers), CacheEventsBody
        )
        _check_process(holder, body.born)
        entries = [
            CacheEntry(salt, PromptPart(part_id, tokens))
            for _, _, salt, part_id, tokens, _ in body.events
        ]
        return CacheChanges(body.epoch, body.next_token, entries, body.lost)

    async def _ask(self, question: Question, kind: type[Body]) -> Body:
        raw, status = await ask(self._session, question)
        if status != OK:
            text = f"status {status}"
            raise BackendRefusedError(text, step="cache feed", peer=question.address)
        try:
            return msgspec.json.decode(raw, type=kind)
        except msgspec.MsgspecError as error:
            raise BackendError(
                str(error), step="decode cache feed", peer=question.address
            ) from error


def _check_process(holder: CacheHolder, born: int) -> None:
    """Raise if another process than the one that is watched has answered; stores have no name."""
    if not holder.is_store:
        check_process(holder.holder_id, born, "cache feed")


def _headers(holder: CacheHolder) -> dict[str, str]:
    return {} if holder.is_store else {names.EXPECT_INSTANCE: instance_of(holder.holder_id)}
