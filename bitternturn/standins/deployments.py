"""Current deployments `atlas` and `association`, from packaged TOML files."""

import tomllib
from dataclasses import dataclass, replace
from enum import Enum, unique
from importlib import resources
from typing import Final

import msgspec
from google.protobuf import json_format

from bitternturn.core.ids import Snapshot
from bitternturn.schema import config_pb2
from bitternturn.standins.samples import SampleKind

ATLAS: Final = 'atlas'
ASSOCIATION: Final = 'association'
FIRST_SNAPSHOT: Final = Snapshot(1)
MIN_SHARDS: Final = 2
DEFAULT_HOST: Final = '127.0.0.1'


@unique
class Placement(Enum):
    """How the shards of an index are placed on targets."""

    # Each target holds exactly one replica of one shard.
    PER_SHARD = 'per_shard'
    # Each target holds one shard and replicas of the preceding ones.
    RING = 'ring'


@dataclass(kw_only=True, frozen=True, slots=True)
class IndexSpec:
    """Sizes of one index and parameters of its targets."""

    name: str
    placement: Placement
    sample: SampleKind
    shards: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    service_ms: float
    cold_limit: int


@dataclass(kw_only=True, frozen=True, slots=True)
class ProfileSpec:
    """One profile, with the field names of the schema."""

    name: str
    priority: str
    deadline_ms: int
    least_coverage: float
    wanted_coverage: float
    preference: str
    repeatable: bool
    hedge_budget: float
    retry_budget: float
    result_limit: int


@dataclass(kw_only=True, frozen=True, slots=True)
class Deployment:
    """One deployment: its network, indexes and profiles."""

    name: str
    failure_domains: tuple[str, ...]
    between_domains_ms: float
    clients_ms: float
    indexes: tuple[IndexSpec, ...]
    profiles: tuple[ProfileSpec, ...]

    def index(self, name: str) -> IndexSpec:
        """Return the specification of an index; KeyError if it is unknown."""
        return {spec.name: spec for spec in self.indexes}[name]


def load_deployment(name: str, *, scale: float = 1) -> Deployment:
    """Load a packaged deployment and scale its shard counts by a factor."""
    folder = resources.files('bitternturn.standins') / 'data'
    text = (folder / f'{name}.toml').read_text(encoding='utf-8')
    deployment = msgspec.convert(tomllib.loads(text), Deployment)
    return replace(
        deployment,
        indexes=tuple(_scale_index(spec, scale) for spec in deployment.indexes),
    )


def build_profiles(deployment: Deployment) -> config_pb2.Profiles:
    """Return the profiles as a configuration message."""
    return json_format.ParseDict(
        {'profiles': [msgspec.to_builtins(it) for it in deployment.profiles]},
        config_pb2.Profiles(),
    )


def build_indexes(
    deployment: Deployment,
    *,
    snapshots: tuple[Snapshot, ...] = (FIRST_SNAPSHOT,),
    host: str = DEFAULT_HOST,
) -> config_pb2.Indexes:
    """Return the indexes as a message; the ports of all targets are 0."""
    return config_pb2.Indexes(
        indexes=[
            _build_index(deployment, number, snapshots, host)
            for number in range(len(deployment.indexes))
        ],
    )


def build_switches(deployment: Deployment) -> config_pb2.Switches:
    """Return switches with every failure domain in service."""
    return config_pb2.Switches(
        failure_domains=[
            config_pb2.Switch(name=name, state=config_pb2.SWITCH_STATE_IN)
            for name in deployment.failure_domains
        ],
    )


def build_map(
    spec: IndexSpec,
    *,
    snapshot: Snapshot,
    shards: int = 0,
) -> config_pb2.PartitionMap:
    """Return the map of a snapshot, repartitioned if `shards` is given.

    The shards stay on the targets of the index. A repartitioned map uses other
    shard ids, so that one id never refers to two different ranges of documents.
    """
    count = shards or spec.shards
    prefix = spec.name if count == spec.shards else f'{spec.name}-of-{count}'
    return config_pb2.PartitionMap(
        snapshot=snapshot,
        shards=[
            config_pb2.Shard(
                id=f'{prefix}-{number:02}',
                weight=1,
                targets=_replica_ids(spec, number % spec.shards),
            )
            for number in range(count)
        ],
    )


def _build_index(
    deployment: Deployment,
    number: int,
    snapshots: tuple[Snapshot, ...],
    host: str,
) -> config_pb2.Index:
    """Return one index with its targets spread over failure domains."""
    spec = deployment.indexes[number]
    domains = deployment.failure_domains
    index = config_pb2.Index(
        name=spec.name,
        maps=[build_map(spec, snapshot=snapshot) for snapshot in snapshots],
    )
    for position, target_id in enumerate(_target_ids(spec)):
        domain = number + _domain_offset(spec, position, len(domains))
        index.targets.add(
            id=target_id,
            host=host,
            failure_domain=domains[domain % len(domains)],
            slots=spec.slots,
            connections=spec.connections,
            cold_limit=spec.cold_limit,
        )
    return index


def _scale_index(spec: IndexSpec, scale: float) -> IndexSpec:
    """Return an index with its shard count scaled by a factor."""
    shards = max(MIN_SHARDS, round(spec.shards * scale))
    return replace(spec, shards=shards)


def _target_ids(spec: IndexSpec) -> list[str]:
    """Return the ids of all targets of an index."""
    if spec.placement is Placement.RING:
        return [f'{spec.name}-{number:02}' for number in range(spec.shards)]
    return [
        f'{spec.name}-{number:02}-{replica}'
        for number in range(spec.shards)
        for replica in range(spec.replicas)
    ]


def _replica_ids(spec: IndexSpec, number: int) -> list[str]:
    """Return the ids of the targets that hold a shard."""
    ids = _target_ids(spec)
    if spec.placement is Placement.RING:
        return [
            ids[(number + step) % len(ids)] for step in range(spec.replicas)
        ]
    return ids[number * spec.replicas : (number + 1) * spec.replicas]


def _domain_offset(spec: IndexSpec, position: int, domains: int) -> int:
    """Return the offset of a target's failure domain within the list.

    Adjacent targets get different offsets, so that the replicas of a shard are
    in different failure domains. In a ring the last target is adjacent to the
    first.
    """
    if spec.placement is Placement.PER_SHARD:
        return position // spec.replicas + position % spec.replicas
    closes_ring = position > 0 and position == spec.shards - 1
    return position + 1 if closes_ring and position % domains == 0 else position
