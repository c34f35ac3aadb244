"""Tests of the quota of a tenant over several instances."""

import asyncio
import contextlib
import dataclasses

from bitternturn.gateway import quotas as gateway_quotas
from bitternturn.policy.quota import rank_holders
from bitternturn.schema.relay_pb2 import Frame
from tests.gateway.test_quotas import BOUND, fill, make_limited
from tests.relay.linked_fleet import SINGLE_PATH, linked_fleet

KEY = [(b'x-api-key', b'blue-key')]


def apply_quota(fleet, tenant, version=2):
    """Configure the tenant at all instances."""
    for instance in fleet.instances:
        gateway = instance.gateway
        gateway.quotas.bound = BOUND
        configuration = gateway.fleet_state.configuration
        gateway.apply_configuration(
            dataclasses.replace(
                configuration, version=version, tenants=(tenant,)
            )
        )


def ranked(fleet):
    """Return the instances in the order in which they hold the quota."""
    by_name = {it.gateway.settings.name: it for it in fleet.instances}
    return [by_name[name] for name in rank_holders('blue', fleet.names)]


async def async_until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def quota_fleet(**limits):
    """Provide a fleet whose holder is confirmed, and its ranks."""
    async with linked_fleet(shards=1) as fleet:
        apply_quota(fleet, make_limited(**limits))
        holder, *others = ranked(fleet)
        await async_until(lambda: held(holder).holds)
        yield fleet, holder, others


def held(instance):
    return instance.gateway.quotas.by_tenant['blue'].holder


async def async_ask(fleet, instance, count):
    """Send some requests at once; return how many got each status."""
    responses = await asyncio.gather(
        *(
            fleet.async_ask(instance, SINGLE_PATH, pairs=list(KEY))
            for _ in range(count)
        )
    )
    return [it.status for it in responses]


class TestFleet:
    async def test_only_the_first_rank_holds_the_quota(self):
        async with quota_fleet() as (_, holder, others):
            assert held(holder).holds
            assert not any(held(it).holds for it in others)

    async def test_instances_share_the_quota(self):
        async with quota_fleet(rate=0.5, burst=6) as (fleet, holder, others):
            fill(holder.gateway, 6)
            statuses = []
            for instance in (*others, holder):
                statuses += await async_ask(fleet, instance, 4)
            # Permits that an instance has asked for in advance.
            kept = sum(
                len(it.gateway.quotas.by_tenant['blue'].cached.permits)
                for it in others
            )
        assert 6 <= statuses.count(200) + kept <= 7
        assert kept <= 2
        assert statuses.count(429) == len(statuses) - statuses.count(200)

    async def test_next_ranks_answer_for_a_holder_that_does_not(self):
        async with quota_fleet(rate=20, burst=20) as (fleet, holder, others):
            for reserve in others[:2]:
                bucket = held(reserve).reserve_bucket
                bucket.restart(reserve.gateway.now())
                bucket.add(bucket.size.capacity, reserve.gateway.now())
            holder.server.handle_frame = lambda connection, frame: None
            for connection in list(holder.server.connections):
                connection.on_frame = lambda connection, frame: None
            started_at = others[-1].gateway.now()
            statuses = await async_ask(fleet, others[-1], 1)
            took_s = others[-1].gateway.now() - started_at
            statuses += await async_ask(fleet, others[-1], 30)
        assert statuses[0] == 200
        assert took_s < 1
        served = statuses.count(200)
        spare = BOUND.limit(20, 20) - 20 * 5 - 20
        assert 2 <= served <= spare
        assert statuses.count(503) == len(statuses) - served

    async def test_unused_permits_are_handed_back(self):
        async with quota_fleet(rate=0.5, burst=10) as (fleet, holder, others):
            fill(holder.gateway, 10)
            entry = others[-1].gateway
            quota = entry.quotas.by_tenant['blue']
            for _ in range(3):
                await async_ask(fleet, others[-1], 1)
            bucket = held(holder).holder_bucket
            await async_until(lambda: not quota.cached.permits)
            await asyncio.sleep(0.1)
            bucket.add(0, entry.now())
            assert bucket.level >= 7 - 0.01

    async def test_old_build_counts_as_silent(self, monkeypatch):
        """It ignores the messages, and so must not delay each request."""
        async with quota_fleet() as (fleet, _, others):
            for instance in fleet.instances:
                monkeypatch.setattr(
                    instance.gateway.quotas, 'answer', lambda ask: None
                )
            started_at = others[-1].gateway.now()
            statuses = await async_ask(fleet, others[-1], 1)
            took_s = others[-1].gateway.now() - started_at
        assert statuses == [503]
        assert took_s < 10 * gateway_quotas.ANSWER_TIMEOUT_S

    async def test_messages_contain_no_key(self):
        async with quota_fleet() as (fleet, _, others):
            sent = []
            for peer in others[-1].delegation.peers.values():
                send_request = peer.send_request

                def send(make_frame, on_reply, send_request=send_request):
                    sent.append(make_frame())
                    return send_request(make_frame, on_reply)

                peer.send_request = send
            await async_ask(fleet, others[-1], 2)
        asks = [it for it in sent if it and it.HasField('quota_ask')]
        assert asks
        assert not any(b'blue-key' in it.SerializeToString() for it in asks)
        assert not Frame().HasField('quota_ask')
