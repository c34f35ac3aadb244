"""Sizes of messages and tables at the planned size, without processes.

Run as `python -m bench.planned_size`; prints one JSON object.
"""

import collections
import dataclasses
import json
import random
import time

from bitternturn.core.ids import FailureDomain, Snapshot, TargetId
from bitternturn.membership.const import (
    MAX_DIGESTS_PER_MESSAGE,
    MAX_REPEATED_DIGESTS,
    MAX_UNSETTLED_VIEWS,
)
from bitternturn.membership.ownership import OwnershipTable
from bitternturn.schema.config_pb2 import Indexes
from bitternturn.schema.membership_pb2 import (
    MEMBER_STATE_ACTIVE,
    Member,
    View,
)
from bitternturn.schema.peers_pb2 import (
    Confirmation,
    Hello,
    MemberDigest,
    ProbeReply,
    ProbeRequest,
    Versions,
)
from bitternturn.standins.deployments import build_indexes, load_deployment

INSTANCE_COUNT = 440
TARGET_COUNT = 2400
DOMAINS = tuple(f'domain-{number}' for number in range(7))
REGIONS = 3
INDEX = 'pay-lookup'
ADDRESS_HOST = '10.100.100.17'
PORT = 7000
SEED = 1
CLUSTER = 'bitternturn'
VERSION = 123_456


def make_member(number: int, rng: random.Random) -> Member:
    """Return a member with addresses of typical length."""
    return Member(
        instance_id=f'{rng.getrandbits(48):012x}',
        incarnation=rng.getrandbits(62),
        failure_domain=DOMAINS[number % len(DOMAINS)],
        region=f'region-{number % len(DOMAINS) % REGIONS}',
        peer_host=ADDRESS_HOST,
        peer_port=PORT,
        operator_host=ADDRESS_HOST,
        operator_port=PORT,
        state=MEMBER_STATE_ACTIVE,
    )


def make_indexes() -> Indexes:
    """Return one index with all targets, two replicas for each shard."""
    deployment = load_deployment('atlas')
    index_spec = dataclasses.replace(
        deployment.index(INDEX), shards=TARGET_COUNT // 2, replicas=2
    )
    deployment_at_size = dataclasses.replace(
        deployment, indexes=(index_spec,), failure_domains=DOMAINS
    )
    snapshots = (Snapshot(1), Snapshot(2))
    indexes = build_indexes(
        deployment_at_size, snapshots=snapshots, host=ADDRESS_HOST
    )
    for target in indexes.indexes[0].targets:
        target.port = PORT
    return indexes


def count_owned(table: OwnershipTable, indexes: Indexes) -> list[int]:
    """Return the number of targets of each owner in descending order."""
    owners: collections.Counter[int] = collections.Counter()
    for target in indexes.indexes[0].targets:
        owner = table.owner(
            TargetId(target.id), FailureDomain(target.failure_domain)
        )
        if owner is not None:
            owners[owner.incarnation] += 1
    return sorted(owners.values(), reverse=True)


def count_probe_bytes(member: Member, digests: int, rng: random.Random) -> int:
    """Return the size of a probe and its reply with a number of digests."""
    hello = Hello(
        cluster=CLUSTER,
        instance_id=member.instance_id,
        incarnation=member.incarnation,
        member=member,
    )
    versions = Versions(view=VERSION, profiles=VERSION, indexes=VERSION)
    digest_list = [
        MemberDigest(
            incarnation=rng.getrandbits(62), view_version=VERSION, clear=True
        )
        for _ in range(digests)
    ]
    request = ProbeRequest(hello=hello, versions=versions, digests=digest_list)
    reply = ProbeReply(
        hello=hello,
        versions=versions,
        digests=digest_list,
        confirmation=Confirmation(view_version=VERSION, age_ms=200),
    )
    return len(request.SerializeToString()) + len(reply.SerializeToString())


def main() -> None:
    """Measure and print the results."""
    rng = random.Random(SEED)
    members = [make_member(number, rng) for number in range(INSTANCE_COUNT)]
    view = View(version=1, members=members)
    settled_bytes = len(view.SerializeToString())
    for number in range(MAX_UNSETTLED_VIEWS):
        view.unsettled.add(
            version=number + 1,
            incarnations=[member.incarnation for member in members],
        )
    indexes = make_indexes()
    table = OwnershipTable(view=view)
    started = time.process_time()
    owned = count_owned(table, indexes)
    first_owners_s = time.process_time() - started
    remaining = [it for it in members if it.failure_domain != DOMAINS[0]]
    table.update(View(version=2, members=remaining))
    started = time.process_time()
    owned_after = count_owned(table, indexes)
    lost_domain_s = time.process_time() - started
    print(
        json.dumps(
            {
                'view_bytes': settled_bytes,
                'view_bytes_unsettled': len(view.SerializeToString()),
                'indexes_bytes': len(indexes.SerializeToString()),
                'quiet_probe_bytes': count_probe_bytes(
                    members[0], 1 + MAX_REPEATED_DIGESTS, rng
                ),
                'news_probe_bytes': count_probe_bytes(
                    members[0], MAX_DIGESTS_PER_MESSAGE, rng
                ),
                'most_owned': owned[0],
                'most_owned_without_domain': owned_after[0],
                'owners_first_s': round(first_owners_s, 3),
                'owners_without_domain_s': round(lost_domain_s, 3),
            },
            sort_keys=True,
        ),
    )


if __name__ == '__main__':
    main()
