"""Tests of the configuration in force."""

from bitternturn.configuration.models import ConfigurationKind
from bitternturn.configuration.state import ConfigurationState
from bitternturn.core.ids import TargetId
from bitternturn.schema.config_pb2 import ConfigurationObject
from bitternturn.schema.peers_pb2 import Versions
from tests.configuration.fakes import (
    make_indexes,
    make_profile,
    profiles_at,
    switches_at,
)


class TestApply:
    def test_older_and_equal_versions_are_ignored(self):
        state = ConfigurationState()
        notified = []
        state.subscribe(notified.append)
        assert state.apply_if_newer(profiles_at(5, 'new'))
        assert not state.apply_if_newer(profiles_at(4, 'old'))
        assert not state.apply_if_newer(profiles_at(5, 'other'))
        assert not state.apply_if_newer(ConfigurationObject(version=9))
        assert state.profile('new') == make_profile('new')
        assert state.profile('old') is None
        assert notified == [ConfigurationKind.PROFILES]

    def test_later_change_of_the_given_object_has_no_effect(self):
        state = ConfigurationState()
        given = profiles_at(1, 'desk')
        state.apply_if_newer(given)
        given.profiles.profiles[0].deadline_ms = 9
        assert state.profile('desk').deadline_ms == 100

    def test_unsubscribe(self):
        state = ConfigurationState()
        notified = []
        state.subscribe(notified.append)()
        state.apply_if_newer(profiles_at(1))
        assert notified == []


class TestVersions:
    def test_compares_versions_with_those_of_a_peer(self):
        state = ConfigurationState()
        state.apply_if_newer(profiles_at(3, 'desk'))
        state.apply_if_newer(switches_at(7))
        assert state.versions() == Versions(profiles=3, switches=7)
        newer = state.objects_newer_than(Versions(profiles=3, switches=6))
        assert newer == [switches_at(7)]
        assert state.is_behind(Versions(indexes=1))
        assert not state.is_behind(Versions(profiles=3, switches=6))


class TestSwitches:
    def test_target_out_by_name_or_by_failure_domain(self):
        state = ConfigurationState()
        state.apply_if_newer(
            switches_at(1, domains=('south',), targets=('t9',))
        )
        assert state.is_out(TargetId('t9'))
        assert not state.is_out(TargetId('t2'))
        state.apply_if_newer(
            ConfigurationObject(version=1, indexes=make_indexes())
        )
        assert state.is_out(TargetId('t2'))
        assert not state.is_out(TargetId('t1'))
        state.apply_if_newer(switches_at(2))
        assert not state.is_out(TargetId('t2'))
