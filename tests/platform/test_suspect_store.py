"""Tests of the requests that crash targets and are kept in the store."""

import asyncio

import pytest

from bitternturn.core.clock import wall_ms
from bitternturn.core.ids import ServiceName, TargetId
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.identity import identify_request
from bitternturn.platform.http_messages import read_request
from bitternturn.platform.suspect_store import SuspectStore
from bitternturn.platform.wire_names import KIND_SUSPECTS
from bitternturn.policy.crash_evidence import CrashEvidence, TargetEnd
from bitternturn.standins.platform_store import StoreFault
from tests.gateway.helpers import make_gateway, make_request
from tests.platform.fleet import async_wait_until
from tests.platform.helpers import make_store

CALLER = read_request(make_request())
KEY = identify_request(CALLER)


def make_evidence(now, ages=(1, 2, 3)):
    """Return evidence of ends some seconds ago."""
    known = CrashEvidence()
    for age_s in ages:
        known.add_end(
            TargetEnd(
                life=(TargetId(f't{age_s}'), 1),
                service=ServiceName('s'),
                at=now - age_s,
            )
        )
    return known


@pytest.fixture
async def instances(standin):
    """Return a function that makes an instance that uses the store."""
    tasks = TaskSet()

    def make(name, clock=wall_ms):
        gateway = make_gateway(name)
        SuspectStore(
            gateway=gateway,
            store=make_store(standin.server.port),
            tasks=tasks,
            wall_ms=clock,
        ).start()
        return gateway

    yield make
    await tasks.async_stop()


def is_kept(standin):
    """Return whether the store has the object of the suspect."""
    return (KIND_SUSPECTS, KEY) in standin.objects


async def async_suspect(standin, gateway):
    """Let an instance find the suspect, and wait until it is kept."""
    now = gateway.now()
    gateway.crash_suspects.merge({KEY: make_evidence(now)}, now)
    await async_wait_until(lambda: is_kept(standin))


class TestKeptSuspects:
    async def test_instance_that_starts_knows_them(self, standin, instances):
        await async_suspect(standin, instances('first'))
        second = instances('second')
        await async_wait_until(lambda: second.crash_suspects.crashing)
        assert second.crash_suspects.refuses(CALLER, second.now())

    async def test_answered_one_is_removed(self, standin, instances):
        gateway = instances('first')
        await async_suspect(standin, gateway)
        gateway.crash_suspects.record_answer(
            CALLER, ServiceName('s'), gateway.now()
        )
        await async_wait_until(lambda: not is_kept(standin))

    async def test_it_is_written_once_the_store_is_back(
        self, standin, instances
    ):
        standin.choose_fault = lambda _: StoreFault.BUSY
        gateway = instances('first')
        now = gateway.now()
        gateway.crash_suspects.merge({KEY: make_evidence(now)}, now)
        await asyncio.sleep(0.5)
        assert not is_kept(standin)
        standin.choose_fault = lambda _: StoreFault.NONE
        await async_wait_until(lambda: is_kept(standin))

    async def test_unreadable_object_is_passed_over(self, standin, instances):
        standin.put(KIND_SUSPECTS, 'broken', {'ends': 5})
        await async_suspect(standin, instances('first'))
        second = instances('second')
        await async_wait_until(lambda: second.crash_suspects.crashing)
        assert second.decisions.counts['suspect_unread'] == 1
