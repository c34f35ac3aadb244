"""Deterministic sample documents, partitioned into shards by hash."""

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
DEFAULT_DOCUMENTS_PER_SNAPSHOT: Final = 20
DEFAULT_SEED: Final = 7
PICKER_COUNT: Final = 60
FIRST_DAY: Final = dt.date(2026, 4, 1)
DAY_COUNT: Final = 90
SCORE_HASH_RANGE: Final = 2**32

ESTATES: Final = ('Ait Baha', 'Imouzzer', 'Taliouine', 'Tafraout')
GRADES: Final = ('coarse', 'fine', 'medium')
DEPOTS: Final = ('Altanbulag', 'Bornuur', 'Mungunmorit', 'Zaamar')
BARRIERS: Final = ('gate', 'panel', 'ramp')
BARRIER_QUANTITY_LIMIT: Final = 400

Scalar = str | int | float


@unique
class SampleKind(Enum):
    """Kind of documents in an index."""

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
    """Return documents that depend only on the arguments."""
    rng = random.Random(f'{kind.value}-{seed}')
    make = _make_weighing if kind is SampleKind.WEIGHINGS else _make_barrier
    return tuple(make(number, rng) for number in range(count))


def shard_index(document_id: str, shards: int) -> int:
    """Return the index of a document's shard in a map of `shards` shards."""
    return xxhash.xxh64_intdigest(document_id.encode()) % shards


class Corpus:
    """Documents of an index; each snapshot adds some."""

    def __init__(
        self,
        *,
        kind: SampleKind,
        count: int = DEFAULT_DOCUMENTS,
        documents_per_snapshot: int = DEFAULT_DOCUMENTS_PER_SNAPSHOT,
        seed: int = DEFAULT_SEED,
    ) -> None:
        """Initialise; `count` is the size of the first snapshot."""
        self.kind = kind
        self.count = count
        self.documents_per_snapshot = documents_per_snapshot
        self.seed = seed
        self._split_by_shard: dict[
            tuple[Snapshot, int],
            tuple[tuple[Document, ...], ...],
        ] = {}

    def documents(self, snapshot: Snapshot) -> tuple[Document, ...]:
        """Return all documents of a snapshot."""
        return make_documents(
            self.kind,
            count=self.count + self.documents_per_snapshot * (snapshot - 1),
            seed=self.seed,
        )

    def shard(
        self,
        partition_map: config_pb2.PartitionMap,
        shard: ShardId,
    ) -> tuple[Document, ...]:
        """Return the documents of one shard; ValueError if it is unknown."""
        ids = [it.id for it in partition_map.shards]
        snapshot = Snapshot(partition_map.snapshot)
        documents_by_shard = self._split_by_shard.get((snapshot, len(ids)))
        if documents_by_shard is None:
            documents_by_shard = _split_by_shard(
                self.documents(snapshot), len(ids)
            )
            self._split_by_shard[snapshot, len(ids)] = documents_by_shard
        return documents_by_shard[ids.index(shard)]


def score(document: Document, query_text: str) -> float:
    """Return a score from 0 to 1 that depends only on the arguments."""
    digest = xxhash.xxh32_intdigest(f'{document.id}|{query_text}'.encode())
    return float(digest / SCORE_HASH_RANGE)


def _split_by_shard(
    documents: tuple[Document, ...],
    shards: int,
) -> tuple[tuple[Document, ...], ...]:
    """Partition documents into shards by a hash of their ids."""
    documents_by_shard: list[list[Document]] = [[] for _ in range(shards)]
    for document in documents:
        documents_by_shard[shard_index(document.id, shards)].append(document)
    return tuple(tuple(part) for part in documents_by_shard)


def _make_weighing(number: int, rng: random.Random) -> Document:
    """Return one weighing of plucked leaves."""
    day = FIRST_DAY + dt.timedelta(days=rng.randrange(DAY_COUNT))
    return Document(
        id=f'w-{number:06}',
        fields={
            'picker': f'p-{rng.randrange(PICKER_COUNT):04}',
            'estate': rng.choice(ESTATES),
            'grade': rng.choice(GRADES),
            'kilos': round(rng.uniform(4, 32), 1),
            'date': day.isoformat(),
        },
    )


def _make_barrier(number: int, rng: random.Random) -> Document:
    """Return one batch of panels, gates or ramps."""
    return Document(
        id=f'b-{number:06}',
        fields={
            'barrier': rng.choice(BARRIERS),
            'depot': rng.choice(DEPOTS),
            'quantity': rng.randrange(1, BARRIER_QUANTITY_LIMIT),
        },
    )
