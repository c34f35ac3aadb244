"""Tests of the membership service with fakes on virtual time."""

import asyncio

from bitternturn.membership.models import MembershipEvent, OwnershipState
from tests.membership.fakes import Network, run


def started(instance):
    return [
        info['target']
        for kind, info in instance.events
        if kind is MembershipEvent.TARGET_STARTED
    ]


class TestJoining:
    def test_every_target_gets_one_owner(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)

        run(scenario())

    def test_owner_is_in_the_targets_domain(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            for target in net.targets:
                (owner,) = net.senders(target)
                assert owner.domain == target.failure_domain

        run(scenario())

    def test_more_members_join_than_unsettled_views_are_allowed(self):
        async def scenario():
            net = Network()
            await net.async_add(24)
            await asyncio.sleep(12)
            assert len(net.instances[1].service.view.members) == 24
            assert net.unserved() == []

        run(scenario())

    def test_joins_when_the_outage_ends(self):
        async def scenario():
            net = Network()
            net.store.down = True
            await net.async_add(2)
            await asyncio.sleep(20)
            assert len(net.unserved()) == len(net.targets)
            net.store.down = False
            await net.async_until_served(15)

        run(scenario())


class TestRemoval:
    def test_each_dead_member_is_reported_as_removed_once(self):
        """Several instances suspect the same members and edit the view."""

        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await net.instances[1].async_crash()
            await net.async_until_served(30)
            await asyncio.sleep(10)
            return [
                info['detail']
                for instance in net.instances.values()
                for kind, info in instance.events
                if kind is MembershipEvent.REMOVED
            ]

        assert run(scenario()) == ['1']


class TestLeaving:
    def test_leaving_hands_targets_over_at_once(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await asyncio.sleep(3)
            instance = net.instances[1]
            owned = set(started(instance))
            loop = asyncio.get_running_loop()
            began = loop.time()
            await instance.service.async_leave()
            assert loop.time() - began < net.instances[2].service.times.lease_s
            assert await net.async_until_served(0.2) < 0.2
            assert owned
            warm = {
                state.target
                for other in net.instances.values()
                for state in other.started_states
                if state.warm
            }
            assert owned <= warm

        run(scenario())


class TestCrash:
    def test_targets_of_a_lost_domain_are_taken_over(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await asyncio.sleep(3)
            for instance in list(net.instances.values()):
                if instance.domain == 'b':
                    await instance.async_crash()
            assert net.unserved()
            await net.async_until_served(3)

        run(scenario())

    def test_waits_are_reported_unless_a_handover_may_end_them(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await asyncio.sleep(3)
            loop = asyncio.get_running_loop()
            instances = list(net.instances.values())

            def waiting_targets():
                return [
                    target.id
                    for instance in net.instances.values()
                    for target in net.targets
                    if instance.service.earliest_send_at(target.id)
                    > loop.time()
                ]

            await instances[0].service.async_leave()
            assert not waiting_targets()
            lost = set(started(instances[1]))
            assert lost
            await instances[1].async_crash()
            while not waiting_targets():
                await asyncio.sleep(0.05)
            assert set(waiting_targets()) <= lost
            await net.async_until_served(3)
            assert not waiting_targets()

        run(scenario())


class TestReplacement:
    def test_new_process_joins_at_an_old_address(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await net.instances[8].async_crash()
            await net.async_add(1)
            await asyncio.sleep(1)
            await net.async_until_served(5)
            old, new = net.instances[1], net.instances[8]
            assert len(old.service.view.members) == 8
            assert new.service.state.own_entry is not None

        run(scenario())

    def test_targets_are_served_after_half_is_replaced(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            leaving = [net.instances[number] for number in (1, 2, 3, 4)]
            await asyncio.gather(
                net.async_add(4),
                *(instance.service.async_leave() for instance in leaving),
            )
            for instance in leaving:
                await instance.async_crash()
            await net.async_until_served(3)
            assert len(net.instances[12].service.view.members) == 8

        run(scenario())

    def test_join_after_a_lost_reply_uses_a_new_incarnation(self):
        async def scenario():
            net = Network()
            net.store.lose_answers = True
            await net.async_add(1)
            first = net.instances[1].service.me.incarnation
            net.store.lose_answers = False
            await net.async_until_served(15)
            (member,) = net.instances[1].service.view.members
            assert member.incarnation != first

        run(scenario())


class TestOutage:
    def test_wait_after_an_outage_is_reported_until_it_ends(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await asyncio.sleep(3)
            net.store.down = True
            await asyncio.sleep(20)
            await net.instances[1].async_crash()
            await asyncio.sleep(3)
            net.store.down = False
            loop = asyncio.get_running_loop()
            waited = set()
            while net.unserved():
                waiting = {
                    (instance.name, target.id)
                    for instance in net.instances.values()
                    for target in net.targets
                    if instance.service.ownership_state(target.id)
                    is OwnershipState.WAITING
                }
                for name, target in waiting:
                    (instance,) = [
                        it for it in net.instances.values() if it.name == name
                    ]
                    assert (
                        instance.service.earliest_send_at(target)
                        > loop.time() - 0.06
                    )
                waited |= waiting
                await asyncio.sleep(0.05)
            assert waited

        run(scenario())

    def test_owners_continue_without_the_store(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await asyncio.sleep(3)
            net.store.down = True
            for _ in range(6000):
                await asyncio.sleep(0.01)
                assert net.unserved() == []
            net.store.down = False
            await asyncio.sleep(5)
            assert net.unserved() == []
            assert net.store.writes == 8

        run(scenario())

    def test_domain_isolated_from_its_peers_stabilises(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            net.cuts.add('b')
            await asyncio.sleep(1)
            await net.async_until_served(5)
            await asyncio.sleep(15)
            assert net.unserved() == []
            assert net.store.writes <= 8 + 4

        run(scenario())

    def test_isolated_instance_stops_sending(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await asyncio.sleep(3)
            net.cuts.add('b')
            cut = [
                instance
                for instance in net.instances.values()
                if instance.domain == 'b'
            ]
            net.store.cut |= {instance.name for instance in cut}
            await asyncio.sleep(0.01)
            await net.async_until_served(4)
            await asyncio.sleep(2)
            for target in net.targets:
                assert not set(net.senders(target)) & set(cut)

        run(scenario())

    def test_isolated_instance_joins_again(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            net.cuts.add('b')
            net.store.cut |= {'i1', 'i5'}
            await asyncio.sleep(10)
            net.cuts.clear()
            net.store.cut.clear()
            await asyncio.sleep(10)
            assert net.unserved() == []
            assert len(net.instances[1].service.view.members) == 8

        run(scenario())
