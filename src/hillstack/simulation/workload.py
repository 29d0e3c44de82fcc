"""Workloads of the two deployments, with nested shared prefixes and a shifting hot set.

A prompt consists of the documents on a path down a tree of shared documents, and a tail that no
other prompt has. The popularity of the documents follows a Zipf law; at each shift, the ranking of
the documents is rotated. Arrivals are open-loop: their rate does not depend on the answers.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import accumulate
from random import Random

from xxhash import xxh3_64_intdigest

from hillstack.core.prefix import root_hash


@dataclass(frozen=True, slots=True)
class Level:
    """One level of the document tree below its parent.

    Attributes:
        documents: Number of documents below each parent.
        blocks: Minimum and maximum size of a document in blocks.
        zipf: Exponent of the Zipf law of popularity.
    """

    documents: int
    blocks: tuple[int, int]
    zipf: float = 1.1


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request.

    Attributes:
        share: Share of all requests.
        tree: Name of the document tree; classes with the same tree share documents.
        levels: Levels of the tree that a prompt descends.
        tail_tokens: Minimum and maximum length of the tail in tokens.
        output_tokens: Minimum and maximum length of the answer in tokens.
        priority: Name of the priority class.
        level: Priority sent to engines; lower values run first.
    """

    name: str
    share: float
    tree: str
    levels: tuple[Level, ...]
    tail_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    priority: str = "normal"
    level: int = 10

    @property
    def urgent(self) -> bool:
        """Whether the class is urgent."""
        return self.priority == "urgent"


@dataclass(frozen=True, slots=True)
class Workload:
    """A deployment's traffic.

    Attributes:
        tenants: Share of requests by tenant.
        shift_seconds: Interval between shifts of the hot set.
    """

    name: str
    tenants: tuple[tuple[str, float], ...]
    classes: tuple[RequestClass, ...]
    shift_seconds: float


@dataclass(frozen=True, slots=True)
class Segment:
    """A shared document on a prompt's path."""

    path: str
    blocks: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a workload."""

    number: int
    at: float
    tenant: str
    request_class: RequestClass
    segments: tuple[Segment, ...]
    tail_tokens: int
    output_tokens: int

    def prompt_tokens(self, block_tokens: int) -> int:
        """Return the length of the prompt."""
        return sum(segment.blocks for segment in self.segments) * block_tokens + self.tail_tokens

    def hashes(self, cache_salt: str) -> tuple[int, ...]:
        """Return block hashes that share prefixes as the prompts do, without building the text."""
        parent = root_hash(cache_salt)
        hashes = []
        for segment in self.segments:
            for number in range(segment.blocks):
                parent = xxh3_64_intdigest(f"{segment.path}#{number}".encode(), parent)
                hashes.append(parent)
        return tuple(hashes)

    def prompt(self, block_tokens: int) -> str:
        """Return the prompt as text, with one byte per token."""
        parts = [
            _filler(f"{segment.path}#{number} ", block_tokens)
            for segment in self.segments
            for number in range(segment.blocks)
        ]
        parts.append(_filler(f"question {self.number} ", self.tail_tokens))
        return "".join(parts)


class WorkloadGenerator:
    """Draws the arrivals of a workload from a seed.

    Args:
        rate: Requests per second.
    """

    def __init__(self, workload: Workload, rate: float, seed: int) -> None:
        self._workload = workload
        self._rate = rate
        self._rng = Random(seed)
        self._seed = seed
        self._cumulative_weights: dict[tuple[int, float], list[float]] = {}

    def arrivals(self, seconds: float) -> Iterator[Arrival]:
        """Yield the arrivals of a period, in order of time."""
        now, number = 0.0, 0
        while True:
            now += self._rng.expovariate(self._rate)
            if now >= seconds:
                return
            yield self._draw(number, now)
            number += 1

    def as_tenant(self, arrival: Arrival, tenant: str) -> Arrival:
        """Return a copy of an arrival for another tenant, with documents of that tenant."""
        epoch = int(arrival.at // self._workload.shift_seconds)
        segments = self._draw_segments(tenant, arrival.request_class, epoch)
        return replace(arrival, tenant=tenant, segments=segments)

    def _draw(self, number: int, now: float) -> Arrival:
        rng, workload = self._rng, self._workload
        tenants = workload.tenants
        tenant = rng.choices([name for name, _ in tenants], [share for _, share in tenants])[0]
        classes = workload.classes
        drawn_class = rng.choices(classes, [entry.share for entry in classes])[0]
        epoch = int(now // workload.shift_seconds)
        return Arrival(
            number=number,
            at=now,
            tenant=tenant,
            request_class=drawn_class,
            segments=self._draw_segments(tenant, drawn_class, epoch),
            tail_tokens=rng.randint(*drawn_class.tail_tokens),
            output_tokens=rng.randint(*drawn_class.output_tokens),
        )

    def _draw_segments(
        self, tenant: str, request_class: RequestClass, epoch: int
    ) -> tuple[Segment, ...]:
        path = f"{tenant}/{request_class.tree}"
        segments = []
        for level in request_class.levels:
            document = self._draw_document(path, level, epoch)
            path = f"{path}/{document}"
            low, high = level.blocks
            blocks = low + xxh3_64_intdigest(f"size:{path}".encode()) % (high - low + 1)
            segments.append(Segment(path, blocks))
        return tuple(segments)

    def _draw_document(self, path: str, level: Level, epoch: int) -> int:
        key = (level.documents, level.zipf)
        cumulative = self._cumulative_weights.get(key)
        if cumulative is None:
            weights = [1.0 / (rank + 1) ** level.zipf for rank in range(level.documents)]
            cumulative = self._cumulative_weights[key] = list(accumulate(weights))
        rank = self._rng.choices(range(level.documents), cum_weights=cumulative)[0]
        shift = xxh3_64_intdigest(f"{self._seed}:{epoch}:{path}".encode())
        return (rank + shift) % level.documents


def _filler(label: str, length: int) -> str:
    repeats = length // len(label) + 1
    return (label * repeats)[:length]


TENANT_SHARES = (0.34, 0.22, 0.14, 0.1, 0.08, 0.05, 0.04, 0.03)

TAMPERE_TENANTS = (
    "kuitu-housing",
    "valo-housing",
    "verkko-housing",
    "kuitu-crews",
    "valo-crews",
    "verkko-crews",
    "kuitu-support",
    "verkko-support",
)
LAGOS_TENANTS = (
    "island-reviews",
    "mainland-reviews",
    "island-forms",
    "mainland-forms",
    "island-clients",
    "mainland-clients",
    "island-archive",
    "mainland-archive",
)

TAMPERE = Workload(
    name="tampere",
    tenants=tuple(zip(TAMPERE_TENANTS, TENANT_SHARES, strict=True)),
    classes=(
        RequestClass(
            "survey",
            0.45,
            "cooperative",
            (Level(12, (6, 12), 1.2), Level(6, (4, 8), 1.0)),
            (150, 600),
            (60, 160),
        ),
        RequestClass(
            "crew-arrival",
            0.4,
            "cooperative",
            (Level(12, (6, 12), 1.2),),
            (50, 200),
            (15, 40),
            "urgent",
            0,
        ),
        RequestClass(
            "instructions", 0.15, "manual", (Level(3, (2, 4), 1.0),), (100, 400), (30, 80)
        ),
    ),
    shift_seconds=20.0,
)

LAGOS = Workload(
    name="lagos",
    tenants=tuple(zip(LAGOS_TENANTS, TENANT_SHARES, strict=True)),
    classes=(
        RequestClass(
            "bylaw-review",
            0.5,
            "zoning-code",
            (Level(2, (16, 20), 1.5), Level(10, (5, 10), 1.1)),
            (200, 800),
            (80, 200),
        ),
        RequestClass(
            "form-check", 0.3, "zoning-code", (Level(2, (16, 20), 1.5),), (80, 300), (10, 30)
        ),
        RequestClass(
            "status",
            0.2,
            "portal-guide",
            (Level(2, (1, 2), 1.0),),
            (40, 120),
            (10, 30),
            "urgent",
            0,
        ),
    ),
    shift_seconds=20.0,
)

WORKLOADS = {workload.name: workload for workload in (TAMPERE, LAGOS)}
