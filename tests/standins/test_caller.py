"""Tests of the emulated caller and the open-loop load generator."""

import asyncio
import contextlib
import random
from collections import Counter

from bitternturn.http.models import Request, make_json_response
from bitternturn.http.server import HttpServer
from bitternturn.standins.caller import Caller
from bitternturn.standins.caller_models import (
    CallerAnswer,
    CallerQuery,
    InstanceAddress,
    QueryReply,
)
from bitternturn.standins.load_generator import async_generate_load

QUERY = CallerQuery(
    index='pay-lookup',
    profile='shed-queue',
    query={'match': {'picker': 'p-0001'}},
    request_id='r1',
    deadline_ms=250,
)
REPLY = {'request_id': 'r1', 'outcome': 'done', 'coverage': 1, 'hits': []}


class FakeInstance:
    def __init__(self):
        self.ready = True
        self.requests = []
        self.server = HttpServer(handler=self.handle)
        self.drop = False

    async def handle(self, request: Request):
        if request.path == '/ready':
            return make_json_response({}, status=200 if self.ready else 503)
        self.requests.append(request)
        if self.drop:
            for connection in list(self.server.connections):
                connection.abort()
        return make_json_response(REPLY)


@contextlib.asynccontextmanager
async def running_instances(count):
    instances = [FakeInstance() for _ in range(count)]
    for instance in instances:
        await instance.server.async_start(host='127.0.0.1', port=0)
    caller = Caller(
        addresses=[
            InstanceAddress(host='127.0.0.1', port=it.server.port)
            for it in instances
        ],
        check_interval_s=5,
    )
    await caller.async_check()
    try:
        yield instances, caller
    finally:
        await caller.async_stop()
        for instance in instances:
            await instance.server.async_stop()


class TestCaller:
    async def test_round_robin_over_ready_instances(self):
        async with running_instances(3) as (instances, caller):
            instances[0].ready = False
            await caller.async_check()
            answers = [await caller.async_query(QUERY) for _ in range(4)]
            assert all(it.done and it.status == 200 for it in answers)
            assert [len(it.requests) for it in instances] == [0, 2, 2]
            request = instances[1].requests[0]
            assert request.path == '/v1/query/pay-lookup'
            assert request.headers['x-request-id'] == 'r1'
            assert request.headers['x-deadline-ms'] == '250'
            assert request.json()['query'] == QUERY.query
            assert len(instances[1].server.connections) == 1

    async def test_skips_instance_that_refuses_connection(self):
        async with running_instances(2) as (instances, caller):
            await instances[0].server.async_stop()
            answers = [await caller.async_query(QUERY) for _ in range(3)]
            assert all(it.done for it in answers)
            assert caller.ready_instances == caller.addresses[1:]
            await instances[1].server.async_stop()
            await asyncio.gather(
                *(it.closed for it in instances[1].server.connections)
            )
            answer = await caller.async_query(QUERY)
            assert answer.status == 0
            assert answer.reply.outcome in ('not_run', 'in_doubt')
            answer = await caller.async_query(QUERY)
            assert answer.reply.outcome == 'not_run'

    async def test_connection_lost_after_send_is_in_doubt(self):
        async with running_instances(2) as (instances, caller):
            for instance in instances:
                instance.drop = True
            answer = await caller.async_query(QUERY)
            assert (answer.status, answer.reply.outcome) == (0, 'in_doubt')
            assert sum(len(it.requests) for it in instances) == 1


class TestLoad:
    async def test_sends_on_schedule_despite_unanswered_queries(self):
        release = asyncio.Event()
        sent = []

        async def send(query: CallerQuery) -> CallerAnswer:
            sent.append(query.request_id)
            await release.wait()
            done = query.request_id != sent[-1]
            return CallerAnswer(
                status=200 if done else 429,
                latency_s=0,
                reply=QueryReply(
                    outcome='done' if done else 'not_run',
                    coverage=0.5,
                    code='' if done else 'overloaded',
                ),
            )

        def make_query(rng: random.Random) -> CallerQuery:
            if len(sent) == 5:
                release.set()
            return CallerQuery(
                index='i', profile='p', query={}, request_id=str(rng.random())
            )

        seen = Counter()
        report = await async_generate_load(
            send=send,
            rate=1000,
            seconds=0.05,
            make_query=make_query,
            rng=random.Random(3),
            on_answer=lambda it: seen.update([it.status]),
        )
        assert report.offered == len(sent) > 5
        assert report.statuses == seen
        assert report.done == report.histogram.get_total_count()
        assert report.mean_coverage == 0.5
        assert report.codes['overloaded'] == report.offered - report.done
