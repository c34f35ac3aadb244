"""Non-repeatable requests run at most once under faults."""

import asyncio
import signal

import pytest

from bitternturn.standins.object_faults import ObjectFaults, Outage
from bitternturn.standins.target_records import RunState
from tests.integration.helpers import (
    INDEX,
    async_get_owners,
    async_send_queries,
    async_send_query,
    async_wait_until,
    get_replicas_by_shard,
    get_started_runs,
    get_started_runs_with_key,
    make_record,
    set_service_s,
)

SHARD = f'{INDEX}-00'
KEY = 'weighing-1'


def inject_lost_answers(cluster, count=1):
    for server in get_replicas_by_shard(cluster)[SHARD]:
        server.faults.lost_answers = count


async def async_find_non_owner(cluster):
    """Return an instance that owns no replica of the shard."""
    owners = await async_get_owners(cluster, 'i0')
    owner_names = {
        owners[it.target.id] for it in get_replicas_by_shard(cluster)[SHARD]
    }
    return next(it for it in cluster.instances if it not in owner_names)


async def async_wait_running(cluster, query):
    await async_wait_until(
        lambda: any(
            run.state is RunState.RUNNING
            for run in get_started_runs(cluster, query)
        ),
    )
    (run,) = get_started_runs(cluster, query)
    return run


class TestLostAnswers:
    @pytest.mark.parametrize('key', ['', KEY])
    async def test_lost_answer_of_the_target(self, start_cluster, key):
        cluster = await start_cluster()
        inject_lost_answers(cluster)
        query = make_record(SHARD, key=key)
        answer = await async_send_query(cluster, 'i0', query)
        assert answer.reply.outcome == 'in_doubt'
        assert len(get_started_runs(cluster, query)) == 1
        if key:
            again = make_record(SHARD, key=key)
            answer = await async_send_query(cluster, 'i1', again)
            assert (answer.status, answer.reply.outcome) == (409, 'in_doubt')
            assert len(get_started_runs_with_key(cluster, key)) == 1

    async def test_lost_answer_of_the_object_api(self, start_cluster):
        cluster = await start_cluster()
        cluster.objects.set_faults(ObjectFaults(lost_answers=1))
        first = await async_send_query(
            cluster, 'i0', make_record(SHARD, key=KEY)
        )
        assert cluster.objects.faults.lost_answers == 0
        second = await async_send_query(
            cluster, 'i1', make_record(SHARD, key=KEY)
        )
        assert first.done
        assert second.reply.hits == first.reply.hits
        assert len(get_started_runs_with_key(cluster, KEY)) == 1

    async def test_lost_answers_of_both(self, start_cluster):
        cluster = await start_cluster()
        inject_lost_answers(cluster)
        cluster.objects.set_faults(ObjectFaults(lost_answers=2))
        answers = [
            await async_send_query(cluster, name, make_record(SHARD, key=KEY))
            for name in ('i0', 'i1', 'i2')
        ]
        assert not any(answer.done for answer in answers)
        assert len(get_started_runs_with_key(cluster, KEY)) <= 1

    async def test_other_body_under_the_same_key_is_refused(
        self, start_cluster
    ):
        cluster = await start_cluster()
        assert (
            await async_send_query(cluster, 'i0', make_record(SHARD, key=KEY))
        ).done
        other = make_record(SHARD, key=KEY, query={})
        answer = await async_send_query(cluster, 'i1', other)
        assert answer.reply.code == 'claim_mismatch'
        assert not get_started_runs(cluster, other)


class TestRacingRetries:
    @pytest.mark.parametrize('lost', [0, 3])
    async def test_retries_through_all_instances(self, start_cluster, lost):
        cluster = await start_cluster()
        set_service_s(cluster, 0.1)
        cluster.objects.set_faults(ObjectFaults(lost_answers=lost))
        queries = [make_record(SHARD, key=KEY) for _ in range(12)]
        answers = await async_send_queries(cluster, queries)
        assert len(get_started_runs_with_key(cluster, KEY)) <= 1
        done = [answer for answer in answers if answer.done]
        assert {answer.reply.hits[0]['id'] for answer in done} <= {KEY}
        for query, answer in zip(queries, answers, strict=True):
            if answer.reply.outcome == 'not_run':
                assert not get_started_runs(cluster, query)
        again = await async_send_query(
            cluster, 'i1', make_record(SHARD, key=KEY)
        )
        assert again.done
        assert len(get_started_runs_with_key(cluster, KEY)) == 1


class TestCrashes:
    @pytest.mark.parametrize('outage', [Outage.NONE, Outage.REFUSING])
    @pytest.mark.parametrize('victim', ['entry', 'owner'])
    async def test_crash_while_the_target_works(
        self, start_cluster, victim, outage
    ):
        cluster = await start_cluster()
        set_service_s(cluster, 0.5)
        entry = await async_find_non_owner(cluster)
        query = make_record(SHARD, key=KEY)
        send_task = asyncio.create_task(async_send_query(cluster, entry, query))
        run = await async_wait_running(cluster, query)
        owners = await async_get_owners(cluster, entry)
        killed = entry if victim == 'entry' else owners[run.target]
        cluster.objects.set_faults(ObjectFaults(outage=outage))
        await cluster.instances[killed].async_kill()
        answer = await send_task
        assert answer.reply.outcome == 'in_doubt'
        cluster.objects.set_faults(ObjectFaults())
        remaining = [it for it in cluster.instances if it != killed]
        retries = [make_record(SHARD, key=KEY) for _ in range(4)]
        answers = await async_send_queries(cluster, retries, *remaining)
        assert len(get_started_runs_with_key(cluster, KEY)) == 1
        assert all(
            it.reply.outcome != 'not_run'
            or it.reply.code == 'claim_unavailable'
            for it in answers
        )

    @pytest.mark.parametrize('key', ['', KEY])
    async def test_reset_and_lost_answer(self, start_cluster, key):
        cluster = await start_cluster(proxied=True)
        set_service_s(cluster, 0.3)
        query = make_record(SHARD, key=key)
        send_task = asyncio.create_task(async_send_query(cluster, 'i0', query))
        run = await async_wait_running(cluster, query)
        cluster.objects.set_faults(ObjectFaults(lost_answers=1))
        cluster.fleet.proxies[run.target].reset_connections()
        answer = await send_task
        assert answer.reply.outcome == 'in_doubt'
        assert len(get_started_runs(cluster, query)) == 1

    async def test_owner_paused_while_the_target_works(self, start_cluster):
        cluster = await start_cluster()
        set_service_s(cluster, 0.3)
        entry = await async_find_non_owner(cluster)
        query = make_record(SHARD, key=KEY)
        send_task = asyncio.create_task(async_send_query(cluster, entry, query))
        run = await async_wait_running(cluster, query)
        owner = (await async_get_owners(cluster, entry))[run.target]
        cluster.instances[owner].send_signal(signal.SIGSTOP)
        answer = await send_task
        cluster.instances[owner].send_signal(signal.SIGCONT)
        assert answer.reply.outcome == 'in_doubt'
        retries = [make_record(SHARD, key=KEY) for _ in range(3)]
        await async_send_queries(cluster, retries, entry)
        assert len(get_started_runs_with_key(cluster, KEY)) == 1
