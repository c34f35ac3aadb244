"""Tests of the choice of the source of a follower."""

import pytest

from bitternturn.policy.delegate_selection import DelegateCandidate
from bitternturn.policy.relay_selection import (
    MIN_RELAYED_DOMAIN_SIZE,
    RELAYED_PATIENCE,
    RELAYS_PER_DOMAIN,
    rank_relays,
    should_poll_relay,
    should_read_store,
)


def make_members(count):
    """Return the instances of one domain."""
    return [
        DelegateCandidate(name=f'i{number}', domain='north', cores=1)
        for number in range(count)
    ]


class TestRelays:
    def test_small_domain_has_none(self):
        assert not rank_relays(
            'north', make_members(MIN_RELAYED_DOMAIN_SIZE - 1)
        )

    def test_loss_of_another_instance_moves_no_relay(self):
        members = make_members(60)
        relays = rank_relays('north', members)[:RELAYS_PER_DOMAIN]
        left = [it for it in members if it.name in relays or it.name > 'i3']
        assert rank_relays('north', left)[:RELAYS_PER_DOMAIN] == relays


class TestPolls:
    def test_relays_and_readers_alternate_after_a_failure(self):
        polled = [should_poll_relay(failed) for failed in range(4)]
        assert polled == [True, False, True, False]

    @pytest.mark.parametrize(
        ('failed_polls', 'not_updated_s', 'has_relay', 'expected'),
        [
            (1, 9.0, False, False),
            (2, 0.7, False, False),
            (2, 0.8, False, True),
            (2, 0.8, True, False),
            (4, 0.8 * RELAYED_PATIENCE, True, True),
        ],
    )
    def test_store_is_read_without_a_source(
        self, failed_polls, not_updated_s, has_relay, expected
    ):
        assert expected is should_read_store(
            failed_polls=failed_polls,
            not_updated_s=not_updated_s,
            read_after_s=0.8,
            has_relay=has_relay,
        )
