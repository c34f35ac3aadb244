"""Deterministic sample data, split over shards by hash."""

import datetime as dt
import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Final

import xxhash

from bitternturn.core.ids import ShardId, Snapshot
from bitternturn.schema import config_pb2

DEFAULT_DOCUMENTS: Final = 2000
DEFAULT_GROWTH: Final = 20
DEFAULT_SEED: Final = 7
PICKERS: Final = 60
FIRST_DAY: Final = dt.date(2026, 4, 1)
DAYS: Final = 90
SHARE_OF_SCORE: Final = 2**32

ESTATES: Final = ('Ait Baha', 'Imouzzer', 'Taliouine', 'Tafraout')
GRADES: Final = ('coarse', 'fine', 'medium')
DEPOTS: Final = ('Altanbulag', 'Bornuur', 'Mungunmorit', 'Zaamar')
BARRIERS: Final = ('gate', 'panel', 'ramp')
BARRIER_QUANTITY: Final = 400

Scalar = str | int | float


@unique
class SampleKind(Enum):
    """What an index holds."""

    WEIGHINGS = 'weighings'
    BARRIERS = 'barriers'


@dataclass(kw_only=True, frozen=True, slots=True)
class Document:
    """One searchable document."""

    id: str
    fields: Mapping[str, Scalar] = field(default_factory=dict)


def make_documents(
    kind: SampleKind,
    *,
    count: int,
    seed: int,
) -> tuple[Document, ...]:
    """Return documents that depend on the arguments alone."""
    rng = random.Random(f'{kind.value}-{seed}')
    make = _make_weighing if kind is SampleKind.WEIGHINGS else _make_barrier
    return tuple(make(number, rng) for number in range(count))


def shard_number(document_id: str, shards: int) -> int:
    """Return the place of a document's shard in a map of so many shards."""
    return xxhash.xxh64_intdigest(document_id.encode()) % shards


class Corpus:
    """All documents of an index; each snapshot holds some more of them."""

    def __init__(
        self,
        *,
        kind: SampleKind,
        count: int = DEFAULT_DOCUMENTS,
        growth: int = DEFAULT_GROWTH,
        seed: int = DEFAULT_SEED,
    ) -> None:
        """Make the documents of the first snapshot."""
        self.kind = kind
        self.count = count
        self.growth = growth
        self.seed = seed
        self._split: dict[
            tuple[Snapshot, int],
            tuple[tuple[Document, ...], ...],
        ] = {}

    def documents(self, snapshot: Snapshot) -> tuple[Document, ...]:
        """Return all documents of a snapshot."""
        return make_documents(
            self.kind,
            count=self.count + self.growth * (snapshot - 1),
            seed=self.seed,
        )

    def shard(
        self,
        partition_map: config_pb2.PartitionMap,
        shard: ShardId,
    ) -> tuple[Document, ...]:
        """Return the documents of one shard; raises ValueError."""
        ids = [it.id for it in partition_map.shards]
        snapshot = Snapshot(partition_map.snapshot)
        parts = self._split.get((snapshot, len(ids)))
        if parts is None:
            parts = _split(self.documents(snapshot), len(ids))
            self._split[snapshot, len(ids)] = parts
        return parts[ids.index(shard)]


def score(document: Document, query_text: str) -> float:
    """Return a score of 0 to 1 that depends on the arguments alone."""
    digest = xxhash.xxh32_intdigest(f'{document.id}|{query_text}'.encode())
    return float(digest / SHARE_OF_SCORE)


def _split(
    documents: tuple[Document, ...],
    shards: int,
) -> tuple[tuple[Document, ...], ...]:
    """Return the documents of each shard."""
    parts: list[list[Document]] = [[] for _ in range(shards)]
    for document in documents:
        parts[shard_number(document.id, shards)].append(document)
    return tuple(tuple(part) for part in parts)


def _make_weighing(number: int, rng: random.Random) -> Document:
    """Return one weighing of plucked leaf."""
    day = FIRST_DAY + dt.timedelta(days=rng.randrange(DAYS))
    return Document(
        id=f'w-{number:06}',
        fields={
            'picker': f'p-{rng.randrange(PICKERS):04}',
            'estate': rng.choice(ESTATES),
            'grade': rng.choice(GRADES),
            'kilos': round(rng.uniform(4, 32), 1),
            'date': day.isoformat(),
        },
    )


def _make_barrier(number: int, rng: random.Random) -> Document:
    """Return one lot of panels, gates or ramps."""
    return Document(
        id=f'b-{number:06}',
        fields={
            'barrier': rng.choice(BARRIERS),
            'depot': rng.choice(DEPOTS),
            'quantity': rng.randrange(1, BARRIER_QUANTITY),
        },
    )
