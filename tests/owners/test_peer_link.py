"""Tests of an owner that is called over a peer link."""

import asyncio
import random

from bitternturn.core.tasks import TaskSet
from bitternturn.owners.models import OwnershipQueries
from bitternturn.owners.service import OwnerService
from bitternturn.schema.config_pb2 import (
    PRIORITY_URGENT,
    Index,
    PartitionMap,
    Shard,
    Target,
)
from bitternturn.schema.peers_pb2 import (
    OUTCOME_ANSWERED,
    OUTCOME_IN_DOUBT,
    QueryGroup,
    SubQuery,
)
from bitternturn.standins.samples import Corpus, SampleKind
from bitternturn.standins.target_behaviour import TargetBehaviour
from bitternturn.standins.targets import TargetServer
from tests.peers.helpers import FakePeer, make_link


class LinkedOwner:
    """Targets, their owner and a peer link to it."""

    def __init__(self, corpus, count=3) -> None:
        self.targets = [
            Target(
                id=f't{number}',
                host='127.0.0.1',
                slots=2,
                connections=25,
                cold_limit=1,
            )
            for number in range(count)
        ]
        shards = [
            Shard(id=f's{number}', weight=1, targets=[f't{number}'])
            for number in range(count)
        ]
        index = Index(
            name='i',
            targets=self.targets,
            maps=[PartitionMap(snapshot=5, shards=shards)],
        )
        self.servers = [
            TargetServer(
                target=target,
                index=index,
                corpus=corpus,
                behaviour=TargetBehaviour(service_s=0.001),
                rng=random.Random(3),
            )
            for target in self.targets
        ]
        by_id = {target.id: target for target in self.targets}
        self.tasks = TaskSet()
        self.service = OwnerService(
            find_target=by_id.get,
            ownership=OwnershipQueries(
                owns=lambda target_id: True,
                may_send=lambda target_id, now: True,
                is_switched_out=lambda target_id: False,
            ),
            event=lambda kind, **fields: None,
            tasks=self.tasks,
            rng=random.Random(4),
        )
        self.peer = FakePeer(run=self.service.submit)

    async def __aenter__(self) -> 'LinkedOwner':
        for server in self.servers:
            await server.async_start()
        await self.peer.async_start()
        self.link = make_link(self.peer.server.port)
        return self

    async def __aexit__(self, *_) -> None:
        await self.link.async_close()
        await self.peer.server.async_stop()
        await self.service.async_stop()
        for server in self.servers:
            await server.async_stop()
        await self.tasks.async_stop()

    def submit(self):
        group = QueryGroup(
            query_id='q',
            index='i',
            snapshot=5,
            body=b'{}',
            remaining_ms=20000,
            priority=PRIORITY_URGENT,
            repeatable=True,
        )
        items = [
            SubQuery(shard=f's{number}', target=f't{number}')
            for number in range(len(self.targets))
        ]
        return self.link.submit(group, items)


class TestOverLink:
    async def test_cold_targets_get_one_request_at_a_time(self):
        async with LinkedOwner(
            Corpus(kind=SampleKind.WEIGHINGS, count=60)
        ) as linked:
            for server in linked.servers:
                server.enter_cold_start()
            futures = [one for _ in range(30) for one in linked.submit()]
            results = await asyncio.gather(*futures)
            assert {it.outcome for it in results} == {OUTCOME_ANSWERED}
            records = [server.records for server in linked.servers]
            assert [it.overload_outages for it in records] == [0, 0, 0]
            assert [it.peak_in_flight_cold for it in records] == [1, 1, 1]

    async def test_drain_loses_no_answers(self):
        async with LinkedOwner(
            Corpus(kind=SampleKind.WEIGHINGS, count=60)
        ) as linked:
            await asyncio.gather(*linked.submit())
            futures = [one for _ in range(10) for one in linked.submit()]
            while not linked.service.counts.sent > 3:
                await asyncio.sleep(0)
            drain = asyncio.create_task(linked.peer.server.async_drain())
            results = await asyncio.gather(*futures)
            await drain
            outcomes = {it.outcome for it in results}
            assert OUTCOME_IN_DOUBT not in outcomes
            answered = sum(it.outcome == OUTCOME_ANSWERED for it in results)
            assert answered == linked.service.counts.answered - 3
