"""Tests of the orders in the store and of the writes of their status."""

import pytest

from bitternturn.core.tasks import TaskSet
from bitternturn.platform.rollout_store import RolloutStore, decode_order
from bitternturn.platform.store import ObjectMeta, PlatformObject
from bitternturn.policy.rollout import OrderStatus, Phase
from bitternturn.relay.delegation import Delegation
from bitternturn.relay.rollout_exchange import RolloutExchange
from tests.gateway.test_rollouts import SERVICE, make_gateway, order
from tests.platform.helpers import make_store

SPEC = {'service': SERVICE, 'target-version': 'v2', 'duration-s': 20}


def make_object(spec=SPEC, status=None):
    """Return an object of the kind."""
    return PlatformObject(
        meta=ObjectMeta(name=SERVICE), spec=spec, status=status
    )


@pytest.fixture
async def make_instance(standin):
    """Return a function that makes an instance which follows an order."""
    tasks = TaskSet()
    standin.put('rollouts', SERVICE, SPEC)

    def make():
        gateway = make_gateway()
        order(gateway)
        exchange = RolloutExchange(
            gateway=gateway,
            delegation=Delegation(gateway=gateway, tasks=tasks),
            tasks=tasks,
        )
        return RolloutStore(
            gateway=gateway,
            store=make_store(standin.server.port),
            exchange=exchange,
            tasks=tasks,
        )

    yield make
    await tasks.async_stop()


def believe(rollout_store, phase):
    """Let an instance believe something of the order."""
    rollout_store.rollouts.apply_belief(
        SERVICE, 'v2', phase=phase, reason='', age_s=1, failures=0
    )


def stored_status(standin):
    """Return the status in the store."""
    return standin.objects[('rollouts', SERVICE)].status


class TestDecodedOrders:
    @pytest.mark.parametrize(
        'spec',
        [
            None,
            [],
            {},
            {**SPEC, 'service': ''},
            {**SPEC, 'target-version': 7},
            {**SPEC, 'target-version': ''},
            {**SPEC, 'duration-s': 0},
            {**SPEC, 'duration-s': float('nan')},
            {**SPEC, 'duration-s': 1e300},
            {**SPEC, 'duration-s': 'soon'},
        ],
    )
    def test_unusable_order_is_none(self, spec):
        assert decode_order(make_object(spec)) is None

    @pytest.mark.parametrize(
        ('status', 'expected'),
        [
            (None, None),
            (5, None),
            ({'state': 'odd', 'target-version': 'v2'}, None),
            ({'state': 'reverted', 'target-version': 'v1'}, None),
            (
                {'state': 'reverted', 'target-version': 'v2', 'more': 1},
                OrderStatus.REVERTED,
            ),
        ],
    )
    def test_status_of_another_order_is_none(self, status, expected):
        assert decode_order(make_object(SPEC, status)).status is expected


class TestWrites:
    async def test_conclusion_of_another_instance_is_adopted(
        self, standin, make_instance
    ):
        """This one has heard of neither the write nor the evidence."""
        instance = make_instance()
        believe(instance, Phase.COMPLETED)
        standin.put_status(
            'rollouts', SERVICE, {'state': 'reverted', 'target-version': 'v2'}
        )
        await instance.async_check(SERVICE)
        assert stored_status(standin)['state'] == 'reverted'

    async def test_paused_process_does_not_write_at_once(
        self, standin, make_instance
    ):
        """Its view is as old as the pause was long."""
        instance = make_instance()
        believe(instance, Phase.SUSPENDED)
        pauses = instance.gateway.pauses
        pauses.record_gap(5, instance.gateway.now())
        await instance.async_check(SERVICE)
        assert stored_status(standin) is None
        pauses.ended_at -= 10
        await instance.async_check(SERVICE)
        assert stored_status(standin)['state'] == 'reverted'

    async def test_process_paused_between_read_and_write_does_not_write(
        self, standin, make_instance
    ):
        instance = make_instance()
        believe(instance, Phase.SUSPENDED)
        read = instance.store.async_read

        async def async_read(kind, name):
            stored = await read(kind, name)
            instance.gateway.pauses.count += 1
            return stored

        instance.store.async_read = async_read
        await instance.async_check(SERVICE)
        assert stored_status(standin) is None

    async def test_changed_object_is_not_overwritten(
        self, standin, make_instance
    ):
        """The operator writes a second order between the read and the write."""
        instance = make_instance()
        believe(instance, Phase.SUSPENDED)
        read = instance.store.async_read

        async def async_read(kind, name):
            stored = await read(kind, name)
            standin.put('rollouts', SERVICE, {**SPEC, 'target-version': 'v3'})
            return stored

        instance.store.async_read = async_read
        await instance.async_check(SERVICE)
        assert stored_status(standin) is None
        assert instance.gateway.decisions.counts['rollout_not_written'] == 1

    async def test_status_that_is_there_costs_no_call(
        self, standin, make_instance
    ):
        instance = make_instance()
        await instance.async_check(SERVICE)
        assert stored_status(standin)['state'] == 'active'
        calls = len(standin.calls)
        await instance.async_check(SERVICE)
        assert len(standin.calls) == calls


class TestOldReaders:
    async def test_kind_is_listed_if_no_reader_knows_it(
        self, standin, make_instance
    ):
        """Readers of an older build; the instance would never be ready."""
        instance = make_instance()
        instance.gateway.fleet_state.orders_known = False
        instance.is_followed = lambda: False
        standin.put_status(
            'rollouts', SERVICE, {'state': 'reverted', 'target-version': 'v2'}
        )
        await instance.async_list_alone()
        assert not instance.gateway.fleet_state.orders_known
        instance.listed_at -= 10
        await instance.async_list_alone()
        assert instance.gateway.fleet_state.orders_known
        phase = instance.rollouts.progress[SERVICE].state.phase
        assert phase is Phase.REVERTED

    async def test_followed_kind_is_not_listed(self, standin, make_instance):
        instance = make_instance()
        instance.listed_at -= 10
        calls = len(standin.calls)
        await instance.async_list_alone()
        assert len(standin.calls) == calls
