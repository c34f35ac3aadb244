"""Tests of the membership service over fakes, on virtual time."""

import asyncio

from bitternturn.membership.models import MembershipEvent, OwnershipState
from tests.membership.fakes import Network, run


def started(node):
    return [
        info['target']
        for kind, info in node.events
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

    def test_more_joins_than_views_may_be_unsettled(self):
        async def scenario():
            net = Network()
            await net.async_add(24)
            await asyncio.sleep(12)
            assert len(net.nodes[1].service.view.members) == 24
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


class TestLeaving:
    def test_targets_pass_without_a_wait(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await asyncio.sleep(3)
            node = net.nodes[1]
            owned = set(started(node))
            loop = asyncio.get_running_loop()
            began = loop.time()
            await node.service.async_leave()
            assert loop.time() - began < net.nodes[2].service.times.lease_s
            assert await net.async_until_served(0.2) < 0.2
            assert owned
            warm = {
                state.target
                for other in net.nodes.values()
                for state in other.adopted
                if state.warm
            }
            assert owned <= warm

        run(scenario())


class TestCrash:
    def test_lost_domain_is_owned_again(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await asyncio.sleep(3)
            for node in list(net.nodes.values()):
                if node.domain == 'b':
                    await node.async_crash()
            assert net.unserved()
            await net.async_until_served(3)

        run(scenario())

    def test_waits_are_told_unless_a_hand_over_may_end_them(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await asyncio.sleep(3)
            loop = asyncio.get_running_loop()
            nodes = list(net.nodes.values())

            def told():
                return [
                    target.id
                    for node in net.nodes.values()
                    for target in net.targets
                    if node.service.starts_at(target.id) > loop.time()
                ]

            await nodes[0].service.async_leave()
            assert not told()
            lost = set(started(nodes[1]))
            assert lost
            await nodes[1].async_crash()
            while not told():
                await asyncio.sleep(0.05)
            assert set(told()) <= lost
            await net.async_until_served(3)
            assert not told()

        run(scenario())


class TestReplacement:
    def test_new_process_at_an_old_address(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await net.nodes[8].async_crash()
            await net.async_add(1)
            await asyncio.sleep(1)
            await net.async_until_served(5)
            old, new = net.nodes[1], net.nodes[8]
            assert len(old.service.view.members) == 8
            assert new.service.state.listed is not None

        run(scenario())

    def test_half_replaced_at_once(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            leaving = [net.nodes[number] for number in (1, 2, 3, 4)]
            await asyncio.gather(
                net.async_add(4),
                *(node.service.async_leave() for node in leaving),
            )
            for node in leaving:
                await node.async_crash()
            await net.async_until_served(3)
            assert len(net.nodes[12].service.view.members) == 8

        run(scenario())

    def test_late_join_does_not_revive_an_incarnation(self):
        async def scenario():
            net = Network()
            net.store.lose_answers = True
            await net.async_add(1)
            first = net.nodes[1].service.me.incarnation
            net.store.lose_answers = False
            await net.async_until_served(15)
            (member,) = net.nodes[1].service.view.members
            assert member.incarnation != first

        run(scenario())


class TestOutage:
    def test_wait_after_an_outage_is_told_until_it_ends(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await asyncio.sleep(3)
            net.store.down = True
            await asyncio.sleep(20)
            await net.nodes[1].async_crash()
            await asyncio.sleep(3)
            net.store.down = False
            loop = asyncio.get_running_loop()
            waited = set()
            while net.unserved():
                waiting = {
                    (node.name, target.id)
                    for node in net.nodes.values()
                    for target in net.targets
                    if node.service.ownership_state(target.id)
                    is OwnershipState.WAITING
                }
                for name, target in waiting:
                    (node,) = [
                        it for it in net.nodes.values() if it.name == name
                    ]
                    assert node.service.starts_at(target) > loop.time() - 0.06
                waited |= waiting
                await asyncio.sleep(0.05)
            assert waited

        run(scenario())

    def test_owners_go_on_without_the_store(self):
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

    def test_domain_cut_off_from_its_peers_settles(self):
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

    def test_instance_cut_off_from_all_stops(self):
        async def scenario():
            net = Network()
            await net.async_add(8)
            await net.async_until_served(3)
            await asyncio.sleep(3)
            net.cuts.add('b')
            cut = [node for node in net.nodes.values() if node.domain == 'b']
            net.store.cut |= {node.name for node in cut}
            await asyncio.sleep(0.01)
            await net.async_until_served(4)
            await asyncio.sleep(2)
            for target in net.targets:
                assert not set(net.senders(target)) & set(cut)

        run(scenario())

    def test_cut_off_instance_comes_back(self):
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
            assert len(net.nodes[1].service.view.members) == 8

        run(scenario())
