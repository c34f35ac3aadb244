"""Requests that may not be repeated, with real processes and faults."""

import asyncio
import signal

import pytest

from bitternturn.standins.object_faults import ObjectFaults, Outage
from bitternturn.standins.target_records import RunState
from tests.integration.session import (
    INDEX,
    async_ask,
    async_ask_all,
    async_owners,
    async_until,
    record,
    runs_of,
    runs_with_key,
    set_service_s,
    shards,
)

SHARD = f'{INDEX}-00'
KEY = 'weighing-1'


def lose_answers(cluster, count=1):
    for server in shards(cluster)[SHARD]:
        server.faults.lost_answers = count


async def async_entry_apart(cluster):
    """Return an instance that owns no replica of the shard."""
    owners = await async_owners(cluster, 'i0')
    taken = {owners[it.target.id] for it in shards(cluster)[SHARD]}
    return next(it for it in cluster.instances if it not in taken)


async def async_until_running(cluster, query):
    await async_until(
        lambda: any(
            run.state is RunState.RUNNING for run in runs_of(cluster, query)
        ),
    )
    (run,) = runs_of(cluster, query)
    return run


class TestLostAnswers:
    @pytest.mark.parametrize('key', ['', KEY])
    async def test_lost_answer_of_the_target(self, start, key):
        cluster = await start()
        lose_answers(cluster)
        query = record(SHARD, key=key)
        answer = await async_ask(cluster, 'i0', query)
        assert answer.reply.outcome == 'in_doubt'
        assert len(runs_of(cluster, query)) == 1
        if key:
            again = record(SHARD, key=key)
            answer = await async_ask(cluster, 'i1', again)
            assert (answer.status, answer.reply.outcome) == (409, 'in_doubt')
            assert len(runs_with_key(cluster, key)) == 1

    async def test_lost_answer_of_the_object_api(self, start):
        cluster = await start()
        cluster.objects.set_faults(ObjectFaults(lost_answers=1))
        first = await async_ask(cluster, 'i0', record(SHARD, key=KEY))
        assert cluster.objects.faults.lost_answers == 0
        second = await async_ask(cluster, 'i1', record(SHARD, key=KEY))
        assert first.done
        assert second.reply.hits == first.reply.hits
        assert len(runs_with_key(cluster, KEY)) == 1

    async def test_lost_answers_of_both(self, start):
        cluster = await start()
        lose_answers(cluster)
        cluster.objects.set_faults(ObjectFaults(lost_answers=2))
        answers = [
            await async_ask(cluster, name, record(SHARD, key=KEY))
            for name in ('i0', 'i1', 'i2')
        ]
        assert not any(answer.done for answer in answers)
        assert len(runs_with_key(cluster, KEY)) <= 1

    async def test_other_body_under_the_same_key(self, start):
        cluster = await start()
        assert (await async_ask(cluster, 'i0', record(SHARD, key=KEY))).done
        other = record(SHARD, key=KEY, query={})
        answer = await async_ask(cluster, 'i1', other)
        assert answer.reply.code == 'claim_mismatch'
        assert not runs_of(cluster, other)


class TestRacingRetries:
    @pytest.mark.parametrize('lost', [0, 3])
    async def test_retries_through_all_instances(self, start, lost):
        cluster = await start()
        set_service_s(cluster, 0.1)
        cluster.objects.set_faults(ObjectFaults(lost_answers=lost))
        queries = [record(SHARD, key=KEY) for _ in range(12)]
        answers = await async_ask_all(cluster, queries)
        assert len(runs_with_key(cluster, KEY)) <= 1
        done = [answer for answer in answers if answer.done]
        assert {answer.reply.hits[0]['id'] for answer in done} <= {KEY}
        for query, answer in zip(queries, answers, strict=True):
            if answer.reply.outcome == 'not_run':
                assert not runs_of(cluster, query)
        again = await async_ask(cluster, 'i1', record(SHARD, key=KEY))
        assert again.done
        assert len(runs_with_key(cluster, KEY)) == 1


class TestCrashes:
    @pytest.mark.parametrize('outage', [Outage.NONE, Outage.REFUSING])
    @pytest.mark.parametrize('victim', ['entry', 'owner'])
    async def test_crash_while_the_target_works(self, start, victim, outage):
        cluster = await start()
        set_service_s(cluster, 0.5)
        entry = await async_entry_apart(cluster)
        query = record(SHARD, key=KEY)
        asked = asyncio.create_task(async_ask(cluster, entry, query))
        run = await async_until_running(cluster, query)
        owners = await async_owners(cluster, entry)
        killed = entry if victim == 'entry' else owners[run.target]
        cluster.objects.set_faults(ObjectFaults(outage=outage))
        await cluster.instances[killed].async_kill()
        answer = await asked
        assert answer.reply.outcome == 'in_doubt'
        cluster.objects.set_faults(ObjectFaults())
        left = [it for it in cluster.instances if it != killed]
        retries = [record(SHARD, key=KEY) for _ in range(4)]
        answers = await async_ask_all(cluster, retries, *left)
        assert len(runs_with_key(cluster, KEY)) == 1
        assert all(
            it.reply.outcome != 'not_run'
            or it.reply.code == 'claim_unavailable'
            for it in answers
        )

    @pytest.mark.parametrize('key', ['', KEY])
    async def test_reset_and_lost_answer(self, start, key):
        cluster = await start(proxied=True)
        set_service_s(cluster, 0.3)
        query = record(SHARD, key=key)
        asked = asyncio.create_task(async_ask(cluster, 'i0', query))
        run = await async_until_running(cluster, query)
        cluster.objects.set_faults(ObjectFaults(lost_answers=1))
        cluster.fleet.proxies[run.target].reset_open()
        answer = await asked
        assert answer.reply.outcome == 'in_doubt'
        assert len(runs_of(cluster, query)) == 1

    async def test_owner_paused_while_the_target_works(self, start):
        cluster = await start()
        set_service_s(cluster, 0.3)
        entry = await async_entry_apart(cluster)
        query = record(SHARD, key=KEY)
        asked = asyncio.create_task(async_ask(cluster, entry, query))
        run = await async_until_running(cluster, query)
        owner = (await async_owners(cluster, entry))[run.target]
        cluster.instances[owner].send(signal.SIGSTOP)
        answer = await asked
        cluster.instances[owner].send(signal.SIGCONT)
        assert answer.reply.outcome == 'in_doubt'
        retries = [record(SHARD, key=KEY) for _ in range(3)]
        await async_ask_all(cluster, retries, entry)
        assert len(runs_with_key(cluster, KEY)) == 1
