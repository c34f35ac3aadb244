"""Tests of acceptance, history and rollback with a stand-in store."""

import pytest

from bitternturn.configuration import const
from bitternturn.configuration.models import (
    ConfigurationConflict,
    ConfigurationKind,
    InvalidConfiguration,
)
from bitternturn.configuration.switches import SwitchEdit, SwitchScope
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import TargetId
from bitternturn.schema.config_pb2 import Profiles, Switches
from bitternturn.standins.object_faults import ObjectFaults, Outage
from tests.configuration.fakes import (
    make_profile,
    make_store,
    profiles_at,
    switch_out,
)

PROFILES = ConfigurationKind.PROFILES


def profiles(*names: str) -> Profiles:
    return profiles_at(1, *names).profiles


async def accept(store, content, if_version):
    return await store.async_accept(
        kind=PROFILES, content=content, if_version=if_version
    )


class TestAccept:
    async def test_accepted_content_is_applied_locally(self, api, stack):
        store = make_store(api, stack)
        version = await accept(store, profiles('desk'), 0)
        assert store.state.version(PROFILES) == version
        assert store.state.profile('desk') == make_profile('desk')

    async def test_conflict_contains_both_versions(self, api, stack):
        first = make_store(api, stack)
        second = make_store(api, stack, 'i-2')
        version = await accept(first, profiles('desk'), 0)
        with pytest.raises(ConfigurationConflict) as caught:
            await accept(second, profiles('other'), 0)
        assert caught.value.mine == profiles_at(0, 'other')
        assert caught.value.theirs == profiles_at(version, 'desk')

    async def test_concurrent_write_is_a_conflict(self, api, stack):
        first = make_store(api, stack)
        second = make_store(api, stack, 'i-2')
        put = first.client.async_put

        async def put_late(**options):
            first.client.async_put = put
            await accept(second, profiles('theirs'), 0)
            return await put(**options)

        first.client.async_put = put_late
        with pytest.raises(ConfigurationConflict) as caught:
            await accept(first, profiles('mine'), 0)
        assert caught.value.theirs.profiles == profiles('theirs')

    async def test_invalid_content_is_not_written(self, api, stack):
        store = make_store(api, stack)
        with pytest.raises(InvalidConfiguration):
            await accept(store, profiles('a', 'a'), 0)
        assert api.call_count == 0

    async def test_write_with_lost_reply_is_accepted(self, api, stack):
        store = make_store(api, stack)
        api.set_faults(ObjectFaults(lost_answers=1))
        version = await accept(store, profiles('desk'), 0)
        stored = await store.client.async_get('control', 'profiles')
        assert stored.version == version

    async def test_outage_is_reported_and_nothing_applied(self, api, stack):
        store = make_store(api, stack, max_attempts=1)
        api.set_faults(ObjectFaults(outage=Outage.REFUSING))
        with pytest.raises(BitternturnError) as caught:
            await accept(store, profiles('desk'), 0)
        assert caught.value.code is ErrorCode.PLATFORM_UNREACHABLE
        assert store.state.version(PROFILES) == 0


class TestHistory:
    async def test_entries_are_newest_first_and_limited(self, api, stack):
        store = make_store(api, stack)
        accepted = [0]
        for number in range(const.MAX_HISTORY_ENTRIES + 3):
            content = profiles(f'p{number}')
            accepted.append(await accept(store, content, accepted[-1]))
        entries = await store.async_list_history(PROFILES)
        kept = accepted[-const.MAX_HISTORY_ENTRIES :]
        assert [entry.version for entry in entries] == kept[::-1]
        assert entries[0].instance_id == 'i-1'
        oldest = await store.history.async_content(PROFILES, kept[0])
        assert oldest == profiles_at(kept[0], 'p3')
        with pytest.raises(BitternturnError) as caught:
            await store.history.async_content(PROFILES, accepted[1])
        assert caught.value.code is ErrorCode.NOT_FOUND
        listed = await store.client.async_list('history')
        assert len(listed.items) == const.MAX_HISTORY_ENTRIES + 1

    async def test_version_missing_in_history_is_added_later(self, api, stack):
        store = make_store(api, stack)
        content = profiles('first')
        first = await store.client.async_put(
            kind='control',
            name='profiles',
            value=content.SerializeToString(),
            if_version=0,
        )
        second = await accept(store, profiles('second'), first)
        entries = await store.async_list_history(PROFILES)
        assert [entry.version for entry in entries] == [second, first]

    async def test_largest_content_fits_into_history(self, api, stack):
        store = make_store(api, stack)
        content = Switches(failure_domains=[switch_out('n')])
        room = const.MAX_CONTENT_BYTES - content.ByteSize()
        # Two length prefixes grow by a byte each with the longer reason.
        content.failure_domains[0].reason = 'r' * (room - 2)
        version = await store.async_accept(
            kind=ConfigurationKind.SWITCHES, content=content, if_version=0
        )
        kept = await store.history.async_content(
            ConfigurationKind.SWITCHES, version
        )
        assert kept.switches == content

    async def test_rollback_creates_a_new_version(self, api, stack):
        store = make_store(api, stack)
        first = await accept(store, profiles('first'), 0)
        second = await accept(store, profiles('second'), first)
        third = await store.async_rollback(kind=PROFILES, to_version=first)
        assert third > second
        assert store.state.objects[PROFILES] == profiles_at(third, 'first')
        with pytest.raises(ConfigurationConflict):
            await store.async_rollback(
                kind=PROFILES, to_version=first, if_version=second
            )


class TestSwitch:
    async def test_concurrent_edits_are_both_applied(self, api, stack):
        stores = [make_store(api, stack, f'i-{number}') for number in (1, 2)]
        put = stores[0].client.async_put
        edits = [
            SwitchEdit(
                scope=SwitchScope.TARGET, name=name, out=True, reason='r'
            )
            for name in ('t1', 't2')
        ]

        async def put_late(**options):
            stores[0].client.async_put = put
            await stores[1].async_switch(edits[1])
            return await put(**options)

        stores[0].client.async_put = put_late
        version = await stores[0].async_switch(edits[0])
        state = stores[0].state
        assert state.version(ConfigurationKind.SWITCHES) == version
        assert state.is_out(TargetId('t1')) and state.is_out(TargetId('t2'))

    async def test_repeated_edit_is_ignored_and_opposite_edit_reverts(
        self, api, stack
    ):
        store = make_store(api, stack)
        out = SwitchEdit(
            scope=SwitchScope.FAILURE_DOMAIN, name='n', out=True, reason='r'
        )
        back = SwitchEdit(
            scope=SwitchScope.FAILURE_DOMAIN, name='n', out=False, reason=''
        )
        version = await store.async_switch(out)
        assert await store.async_switch(out) == version
        assert await store.async_switch(back) > version
        switches = store.state.objects[ConfigurationKind.SWITCHES].switches
        assert len(switches.failure_domains) == 1
