"""Notices between nodes that send requests to the same runners.

Notices contain only hints: a lost, late or repeated notice reduces performance but never affects
correctness. A datagram contains one ``NodeNotice``.
"""

from __future__ import annotations

import enum

import msgspec

from hillstack.core.part_index import PromptPart
from hillstack.core.runner_load import RunnerLoad
from hillstack.errors import CodecError
from hillstack.messages.rollout_reports import RolloutReport
from hillstack.messages.runner_ends import RunnerEndNotice

PROTOCOL_VERSION = 5
# Value of ``LimitNotice.rate`` for a runner without a limit.
NO_LIMIT = -1.0


class PlacementNotice(msgspec.Struct, array_like=True, frozen=True):
    """A request was sent to a runner that has to prefill a large or shared part of the prompt.

    Attributes:
        salt: Cache salt of the parts.
        parts: Identifier and length in tokens of the shared parts that the runner will cache.
        prefill_tokens: Prompt tokens that the runner has to prefill.
        delay_ms: Expected time until the runner has prefilled the parts.
        number: Number of the placement at the sender; a later ``NodeNotice.reads`` contains the
            number when the prompt has been prefilled.
        save_to: KV cache store to which the runner saves the parts; None if the runner does not
            save them.
    """

    runner_id: str
    salt: str
    parts: list[tuple[str, int]]
    prefill_tokens: int
    delay_ms: int = 0
    number: int = 0
    save_to: str | None = None

    def prompt_parts(self) -> list[PromptPart]:
        """Return the entries of ``parts`` as prompt parts."""
        return [PromptPart(part_id, tokens) for part_id, tokens in self.parts]


class LoadNotice(msgspec.Struct, array_like=True, frozen=True):
    """The load that the sender, or all nodes of its zone together, put on a runner."""

    runner_id: str
    running: int
    long_running: int
    committed_tokens: int

    @classmethod
    def of(cls, runner_id: str, load: RunnerLoad) -> LoadNotice:
        """Return a notice with the load on a runner."""
        return cls(runner_id, load.running, load.long_running, load.committed_tokens)

    def load(self) -> RunnerLoad:
        """Return the load as a ``RunnerLoad``."""
        return RunnerLoad(self.running, self.long_running, self.committed_tokens)


class WeightsPhase(enum.IntEnum):
    """Phase of a runner in a rollout of weights.

    Attributes:
        LOADING: The runner is loading the version and accepts no requests.
        SERVED: The runner serves the version.
    """

    LOADING = 1
    SERVED = 2


class WeightsNotice(msgspec.Struct, array_like=True, frozen=True):
    """A runner's phase in a rollout of weights, sent by the node that conducts the rollout.

    Attributes:
        is_ordered: Whether the sender may have ordered the load. While it waits for prefills it has
            not, and another holder of the duty may order the runner at once.
    """

    runner_id: str
    model: str
    version: int
    phase: WeightsPhase
    is_ordered: bool = True


class AnnouncementNotice(msgspec.Struct, array_like=True, frozen=True):
    """A new version of a model's weights was published in the store.

    The notice contains no time of publication because its network delay is unknown. A node that
    needs the time requests the age of the version (``store_changes.NamedWeights``).

    Attributes:
        revision: Revision of the store item that publishes the version.
        store_era: Era of the store to which the revision belongs; None if the sender supports no
            eras.
        known_in_region: Region whose listed nodes all know the version; empty if that is not said.
    """

    model: str
    version: int
    revision: int = 0
    store_era: int | None = None
    known_in_region: str = ""


class CacheNotice(msgspec.Struct, array_like=True, frozen=True):
    """Prompt parts that a cache holder (a runner or a KV cache store) was observed to cache.

    Attributes:
        salt: Cache salt of the parts.
        parts: Identifier of each part and the number of its tokens that are cached; 0 if the
            holder has evicted the part.
    """

    holder_id: str
    salt: str
    parts: list[tuple[str, int]]

    def prompt_parts(self) -> list[PromptPart]:
        """Return the entries of ``parts`` as prompt parts."""
        return [PromptPart(part_id, tokens) for part_id, tokens in self.parts]


class LimitNotice(msgspec.Struct, array_like=True, frozen=True):
    """The limit that a runner sets, and returned to the sender, for the requests of all nodes.

    Attributes:
        rate: Limit in requests per second; ``NO_LIMIT`` if the runner's latest answer contains no
            limit.
        age_ms: Time since the request for that answer was sent.
    """

    runner_id: str
    rate: float
    age_ms: int


class NodeNotice(msgspec.Struct, array_like=True, frozen=True):
    """The changes that a node sends to its peers at one time.

    Attributes:
        incarnation: Identifies the sender's process; each start of the sender has another one.
        placements: Requests that the sender has just sent to runners.
        loads: The sender's loads on runners.
        weights: Phases of runners in rollouts of weights that the sender conducts.
        suspected: Runners that have not answered the sender in time.
        announcements: Versions of weights that were published recently.
        cache_lost: Cache holders that have lost all cached parts; applied before ``cache``.
        cache: Changes in the parts cached by the holders that the sender watches.
        unavailable: KV cache stores that do not answer.
        reads: Numbers of the sender's placements whose prompts have been prefilled.
        runner_ends: Notices about runner crashes and about suspect requests.
        rollouts: The sender's observations of the current software rollouts.
        restarted: Runners whose process has ended, because a later process of the same name has
            answered.
        leaving: Runners that have announced their shutdown to the sender; the directory may not
            list them as leaving yet.
        limits: Limits that runners have returned to the sender.
        store_era: Era of the store, if the sender has just learned from the store itself that the
            store was restored; else None.
    """

    protocol: int
    node_id: str
    incarnation: int = 0
    placements: list[PlacementNotice] = []
    loads: list[LoadNotice] = []
    weights: list[WeightsNotice] = []
    suspected: list[str] = []
    announcements: list[AnnouncementNotice] = []
    cache_lost: list[str] = []
    cache: list[CacheNotice] = []
    unavailable: list[str] = []
    reads: list[int] = []
    runner_ends: list[RunnerEndNotice] = []
    rollouts: list[RolloutReport] = []
    restarted: list[str] = []
    leaving: list[str] = []
    limits: list[LimitNotice] = []
    store_era: int | None = None

    def is_news(self) -> bool:
        """Return whether the notice contains more than a heartbeat and the sender's loads."""
        return bool(self.placements or self.reads or self.cache) or self.is_control()

    def is_control(self) -> bool:
        """Return whether the notice contains changes that every node needs.

        Fields about single prompts or parts (placements, reads and cached parts) do not count.
        """
        control = self.announcements or self.rollouts or self.leaving or self.limits
        return bool(control) or self.store_era is not None or self.is_urgent()

    def is_urgent(self) -> bool:
        """Return whether the notice contains changes that must be sent at once.

        Fields that regular notices repeat, such as announcements and rollouts, do not count.
        """
        ended = self.suspected or self.restarted or self.runner_ends
        lost = self.cache_lost or self.unavailable
        return bool(self.weights or ended or lost)


# Decodes directly into structs. Decoding into plain values first took a third longer, and a node in
# a fleet of 79 nodes decodes 600 notices per second.
_DECODER = msgspec.msgpack.Decoder(NodeNotice)


def encode(notice: NodeNotice) -> bytes:
    """Encode a notice as MessagePack."""
    return msgspec.msgpack.encode(notice)


def decode(datagram: bytes, peer: str) -> NodeNotice:
    """Decode a notice.

    Raises:
        CodecError: The notice is malformed or of another protocol version.
    """
    try:
        notice = _DECODER.decode(datagram)
    except (ValueError, TypeError) as error:
        raise CodecError("malformed notice", step="decode", peer=peer) from error
    if notice.protocol != PROTOCOL_VERSION:
        raise CodecError(f"protocol version {notice.protocol}", step="decode", peer=peer)
    return notice
