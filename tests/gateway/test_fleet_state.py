"""Tests of the configuration and targets known to an instance."""

from bitternturn.core.ids import FailureDomain, TargetId, Version
from bitternturn.gateway import const
from bitternturn.gateway.fleet_state import FleetState
from bitternturn.gateway.models import Configuration, TargetState
from bitternturn.standins.platform_target import PlatformTarget
from tests.gateway.helpers import make_entry

A = PlatformTarget(id='a', host='127.0.0.1', port=1)
B = PlatformTarget(id='b', host='127.0.0.1', port=2)


def make_fleet_state(*entries):
    """Return a state with some target entries."""
    state = FleetState()
    state.replace_entries({entry.id: entry for entry in entries}, 0)
    return state


class TestConfiguration:
    def test_older_version_is_ignored(self):
        state = FleetState()
        for version, applied in ((4, True), (9, True), (7, False), (9, False)):
            configuration = Configuration(
                version=Version(version), routes=(), services={}
            )
            assert state.apply_configuration(configuration) is applied
        assert state.configuration.version == 9


class TestTargets:
    def test_draining_and_out_of_service_targets_get_no_requests(self):
        state = make_fleet_state(
            make_entry(A, state=TargetState.DRAINING),
            make_entry(B, failure_domain=FailureDomain('south')),
        )
        assert [entry.id for entry in state.ready_by_service()['s']] == ['b']
        state.set_domains_out(['south'])
        assert not state.ready_by_service()

    def test_entry_of_an_earlier_start_is_ignored(self):
        state = make_fleet_state(make_entry(A, started_at_ms=9))
        state.update_entry(make_entry(A, started_at_ms=5, slots=7))
        assert state.entries['a'].slots == 2

    def test_removed_entry_is_dropped_at_once(self):
        state = make_fleet_state(make_entry(A))
        state.remove_entry(TargetId('a'), 1)
        assert not state.entries

    def test_entry_expired_in_an_outage_has_a_grace_period(self):
        state = make_fleet_state(make_entry(A), make_entry(B))
        state.store_failed_at = 10
        state.replace_entries({}, 12)
        assert set(state.entries) == {'a', 'b'}
        state.update_entry(make_entry(B))
        assert not state.settle(13)
        assert state.settle(14.5)
        assert set(state.entries) == {'b'}

    def test_draining_target_has_no_grace_period(self):
        state = make_fleet_state(make_entry(A, state=TargetState.DRAINING))
        state.store_failed_at = 10
        state.remove_entry(TargetId('a'), 11)
        assert not state.entries


class TestRestoredStore:
    """A target that was removed and is listed by a store that went back."""

    @staticmethod
    def restore(entry, at=10):
        """Return a state to which the restored store has listed an entry."""
        state = make_fleet_state(entry)
        state.remove_entry(TargetId('a'), 1)
        state.store_failed_at = at
        state.restore_entries({entry.id: entry}, at)
        assert not state.entries
        return state

    def test_target_missing_from_a_later_list_is_gone(self):
        """Guards against a target that is used without end."""
        state = self.restore(make_entry(A))
        state.replace_entries({}, 11)
        assert not state.settle(20)
        assert not state.entries

    def test_target_believed_and_then_missing_has_no_grace_period(self):
        """It was removed twice: its entry has not expired in the outage."""
        state = self.restore(make_entry(A))
        state.settle(13.5)
        state.replace_entries({'a': make_entry(A)}, 14)
        assert set(state.entries) == {'a'}
        state.replace_entries({}, 15)
        assert not state.entries

    def test_target_that_writes_again_has_a_grace_period(self):
        state = self.restore(make_entry(A))
        state.settle(13.5)
        state.update_entry(make_entry(A))
        state.replace_entries({}, 15)
        assert set(state.entries) == {'a'}

    def test_removal_is_remembered_for_the_next_era(self):
        state = self.restore(make_entry(A))
        state.replace_entries({}, 55)
        # Forgets removals that are too long ago.
        state.update_entry(make_entry(B))
        state.remove_entry(TargetId('b'), 65)
        state.restore_entries({'a': make_entry(A)}, 70)
        assert not state.entries


class TestOutdated:
    def test_state_is_current_without_a_failure(self):
        state = FleetState()
        assert not state.is_outdated(1000)

    def test_state_is_outdated_some_time_after_the_last_confirmation(self):
        state = FleetState()
        state.confirmed_at = 100
        state.store_failed_at = 105
        assert not state.is_outdated(100 + const.OUTDATED_S)
        assert state.is_outdated(101 + const.OUTDATED_S)
        state.confirmed_at = 106
        assert not state.is_outdated(101 + const.OUTDATED_S)

    def test_state_that_nobody_has_confirmed_is_outdated(self):
        state = FleetState()
        state.store_failed_at = 1
        assert state.is_outdated(2)
