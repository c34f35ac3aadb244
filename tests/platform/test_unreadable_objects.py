"""Tests of objects that can't be decoded beside others in a message."""

import asyncio
import json
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bitternturn.core.tasks import TaskSet
from bitternturn.platform import object_messages
from bitternturn.platform.models import ApiResponse
from bitternturn.platform.object_messages import (
    BYTES_PER_PAUSE,
    UnreadableError,
)
from bitternturn.platform.store import PlatformStore
from bitternturn.platform.store_follower import StoreFollower
from bitternturn.platform.suspect_store import SuspectStore
from bitternturn.relay.delegation import Delegation
from bitternturn.schema.relay_pb2 import Changes, KindChanges, StoredObject
from tests.gateway.helpers import SETTINGS, make_gateway
from tests.platform.documents import configuration_document, target_document

SURROGATE = rb'{"service":"\ud83d"}'
MEGABYTE = 1_048_576
# Longest time for which a message of some MB may block the event loop, in CPU time,
# which other processes on the host do not add to. Alone it is below 40 ms.
MAX_STALL_S = 0.15


class FakeTransport:
    """Transport whose calls return a given body."""

    timeout_s = 1

    def __init__(self):
        self.body = b''

    async def async_call(self, *_, **__):
        return ApiResponse(status=200, body=self.body, started_at=0)

    def make_error(self, code, step, message=''):
        return AssertionError((code, step, message))


class Follower:
    """An instance that is fed with messages of the store."""

    def __init__(self):
        self.gateway = make_gateway()
        self.transport = FakeTransport()
        self.tasks = TaskSet()
        self.store = PlatformStore(transport=self.transport)
        self.follower = StoreFollower(
            settings=SETTINGS,
            gateway=self.gateway,
            store=self.store,
            delegation=Delegation(gateway=self.gateway, tasks=self.tasks),
            tasks=self.tasks,
        )
        self.source = self.follower.source

    async def async_list(self, kind, items, revision):
        self.transport.body = make_list(items, revision)
        objects, position = await self.store.async_list(kind)
        self.source._on_store_list(kind, objects, position)

    async def async_watch(self, kind, events, revision):
        self.transport.body = make_events(events, revision)
        reply = await self.store.async_watch(kind, 1, wait_s=0)
        self.source._on_store_events(kind, reply.events, reply.at_rev)

    def deliver(self, kind, objects, revision, *, whole):
        """Apply what a peer hands on, as names and contents."""
        changes = Changes()
        changes.kinds[kind].CopyFrom(
            KindChanges(
                whole=whole,
                at_revision=revision,
                objects=[
                    StoredObject(name=name, revision=revision, spec=spec)
                    for name, spec in objects
                ],
            )
        )
        self.source._apply_changes(
            Changes.FromString(changes.SerializeToString()), 'peer'
        )

    @property
    def targets(self):
        return {
            str(name): entry.slots
            for name, entry in self.gateway.fleet_state.entries.items()
        }

    @property
    def counts(self):
        return self.gateway.decisions.counts


def make_object(name, spec, revision=5):
    """Return an object in JSON; `spec` is JSON as well."""
    return b'{"meta":{"name":%b,"revision":%d},"spec":%b}' % (
        json.dumps(name).encode(),
        revision,
        spec,
    )


def make_event(name, spec, revision=9, deleted=b'false'):
    """Return an event in JSON."""
    stored = make_object(name, spec, revision)
    return b'{"object":%b,"deleted":%b}' % (stored, deleted)


def make_list(items, revision):
    """Return a page of a list."""
    return b'{"items":[%b],"more":false,"at-rev":%d}' % (
        b','.join(items),
        revision,
    )


def make_events(events, revision):
    """Return a response to a watch."""
    return b'{"events":[%b],"at-rev":%d}' % (b','.join(events), revision)


def target_spec(slots=2, **changes):
    """Return the content of the entry of a target in JSON."""
    document = target_document(**{'max-concurrency': slots, **changes})
    return json.dumps(document).encode()


def repeat(part, size=MEGABYTE):
    """Return a list in JSON with a part repeated to a size."""
    return b'[%b1]' % (part * (size // len(part)))


# Contents that can't be decoded, and some that can and are no targets.
UNREADABLE = {
    'surrogate': SURROGATE,
    'surrogate-beside': rb'{"note":"\udc00","service":"s"}',
    'no-utf-8': b'{"service":"\xff\xfe"}',
    'cut-utf-8': b'{"service":"\xe2\x82"}',
    'float': b'{"born":1e999}',
    'integer': b'{"born":%b}' % (b'9' * 5000),
    'negative': b'{"born":-%b}' % (b'9' * 5000),
    'lists': b'[' * 100_000 + b']' * 100_000,
    'objects': b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
    'word': b'nope',
    'control': b'"\x01"',
    'escape': rb'"\x"',
    'no-colon': b'{"a" 1}',
    'brackets': b'{"a":]}',
    'open': b'{"a":[',
    'quote': b'{"a":"',
}
# Contents after which the next object has to be searched for, as quotes or
# brackets are missing. A store whose answers are JSON sends none.
BREAKING = ('brackets', 'open', 'quote')
LARGE = {
    'numbers': repeat(b'1,'),
    'number-out-of-range': repeat(b'1,')[:-2] + b'1e999]',
    'slow-numbers': repeat(b'1.7976931348623157e308,'),
    'lists': repeat(b'[],'),
    'surrogates': b'["%b"]' % (rb'\ud83d,' * (MEGABYTE // 7)),
    'strings': b'["\\ud83d",%b]' % (b'"",' * (MEGABYTE // 3) + b'""'),
    'wide-and-unreadable': repeat(b'[],')[:-2] + rb'"\ud83d"]',
    'nested': b'{"a":' * (MEGABYTE // 6) + b'1' + b'}' * (MEGABYTE // 6),
    'digits': b'9' * MEGABYTE,
    'no-utf-8': b'"%b"' % (b'\xff' * MEGABYTE),
    'keys': b'{%b"a":1}' % (b'"a":1,' * (MEGABYTE // 6)),
}


async def async_measure_stall(work):
    """Return the longest CPU time for which the event loop was blocked."""
    stalls = []

    async def async_tick():
        while True:
            begun_at = time.thread_time()
            await asyncio.sleep(0)
            stalls.append(time.thread_time() - begun_at)

    ticker = asyncio.create_task(async_tick())
    await asyncio.sleep(0)
    await work
    await asyncio.sleep(0)
    ticker.cancel()
    return max(stalls)


class TestTargets:
    @pytest.mark.parametrize('name', UNREADABLE)
    async def test_others_of_a_list_are_used(self, name):
        """Guards against a restart at which no target is known."""
        instance = Follower()
        items = [
            make_object('a', target_spec()),
            make_object('odd', UNREADABLE[name]),
            make_object('b', target_spec(3)),
        ]
        await instance.async_list('servers', items, 9)
        assert instance.targets == {'a': 2, 'b': 3}
        assert instance.counts['object_unreadable'] == 1

    @pytest.mark.parametrize('name', UNREADABLE)
    async def test_other_events_are_applied(self, name):
        """Guards against a draining target that goes on being used."""
        instance = Follower()
        await instance.async_list(
            'servers', [make_object('a', target_spec())], 7
        )
        events = [
            make_event('odd', UNREADABLE[name], 8),
            make_event('a', target_spec(4), 9),
        ]
        await instance.async_watch('servers', events, 9)
        assert instance.targets == {'a': 4}

    async def test_target_that_gets_unreadable_is_not_used(self):
        instance = Follower()
        items = [make_object(name, target_spec()) for name in 'ab']
        await instance.async_list('servers', items, 7)
        await instance.async_watch('servers', [make_event('a', SURROGATE)], 9)
        assert instance.targets == {'b': 2}
        # Followers are told as well.
        assert list(instance.source.copies.kinds['servers'].objects) == ['b']
        await instance.async_watch(
            'servers', [make_event('a', target_spec(6), 11)], 11
        )
        assert instance.targets == {'a': 6, 'b': 2}

    async def test_object_without_a_name_changes_nothing(self):
        instance = Follower()
        await instance.async_list(
            'servers', [make_object('a', target_spec())], 7
        )
        events = [
            b'{"object":{"meta":{"name":"\\ud83d"},"spec":1}}',
            b'{"object":{"spec":{"meta":{"name":"a"},"x":1e999}}}',
            b'{"deleted":true}',
            b'null',
        ]
        await instance.async_watch('servers', events, 9)
        assert instance.targets == {'a': 2}

    async def test_each_is_logged_once_and_counted(self):
        instance = Follower()
        items = [make_object('odd', SURROGATE)]
        for revision in (7, 8, 9):
            await instance.async_list('servers', items, revision)
        assert instance.counts['object_unreadable'] == 1
        metrics = instance.gateway.metrics.render().decode()
        [line] = [
            line
            for line in metrics.splitlines()
            if 'unreadable_objects' in line and not line.startswith('#')
        ]
        assert line.endswith((' 3', ' 3.0'))


class TestOtherKinds:
    async def test_domain_counts_by_its_name(self):
        """Guards against a domain that is used although it is to be empty.

        Nothing but the name of such an object has a meaning.
        """
        instance = Follower()
        items = [make_object('south', b'{}')]
        await instance.async_list('evacuations', items, 7)
        await instance.async_watch(
            'evacuations',
            [
                make_event('south', SURROGATE, 8),
                make_event('north', SURROGATE, 9),
            ],
            9,
        )
        assert instance.gateway.fleet_state.domains_out == {'south', 'north'}
        items = [make_object(name, SURROGATE) for name in ('south', 'north')]
        await instance.async_list('evacuations', items, 10)
        assert instance.gateway.fleet_state.domains_out == {'south', 'north'}
        await instance.async_watch(
            'evacuations', [make_event('south', SURROGATE, 11, b'true')], 11
        )
        assert instance.gateway.fleet_state.domains_out == {'north'}

    async def test_configuration_beside_an_unreadable_one_is_applied(self):
        instance = Follower()
        spec = json.dumps(configuration_document(8)).encode()
        items = [make_object('aside', SURROGATE), make_object('main', spec)]
        await instance.async_list('config', items, 7)
        assert instance.gateway.version == 8
        await instance.async_watch('config', [make_event('main', SURROGATE)], 9)
        assert instance.gateway.version == 8

    async def test_large_configuration_is_applied(self):
        """The bound of other objects does not hold for it."""
        instance = Follower()
        document = configuration_document(8)
        document['note'] = 'x' * 900_000
        items = [make_object('main', json.dumps(document).encode())]
        await instance.async_list('config', items, 7)
        assert instance.gateway.version == 8

    async def test_instance_that_gets_unreadable_stays_registered(self):
        """Fewer known instances would make the shares of limits too large."""
        instance = Follower()
        spec = b'{"domain":"north","address":"127.0.0.1:9","cores":1}'
        items = [make_object(name, spec) for name in ('i1', 'i2')]
        kind = 'bitternturn-instances'
        await instance.async_list(kind, items, 7)
        items[0] = make_object('i1', SURROGATE)
        await instance.async_list(kind, items, 9)
        assert sorted(instance.follower.instances) == ['i1', 'i2']
        assert instance.gateway.instance_count == 3

    async def test_suspects_beside_an_unreadable_one_are_loaded(self):
        instance = Follower()
        end = b'{"target":"a","started-ms":1,"service":"s","at-ms":1}'
        instance.transport.body = make_list(
            [
                make_object('k1', SURROGATE),
                make_object('k2', b'{"ends":[%b]}' % end),
            ],
            7,
        )
        suspects = SuspectStore(
            gateway=instance.gateway,
            store=instance.store,
            tasks=instance.tasks,
            wall_ms=lambda: 2,
        )
        await suspects._async_load()
        assert list(instance.gateway.crash_suspects.evidence) == ['k2']


class TestPeers:
    @pytest.mark.parametrize('whole', [True, False])
    @pytest.mark.parametrize('name', UNREADABLE)
    async def test_others_that_a_peer_hands_on_are_used(self, name, whole):
        instance = Follower()
        await instance.async_list(
            'servers', [make_object('odd', target_spec())], 7
        )
        objects = [
            ('a', target_spec()),
            ('odd', UNREADABLE[name]),
            ('b', target_spec(3)),
        ]
        instance.deliver('servers', objects, 9, whole=whole)
        assert instance.targets == {'a': 2, 'b': 3}

    async def test_other_kinds_of_a_peer_are_applied(self):
        instance = Follower()
        instance.deliver('servers', [('odd', b'{')], 9, whole=False)
        instance.deliver('evacuations', [('south', b'{}')], 9, whole=True)
        assert instance.gateway.fleet_state.domains_out == {'south'}


class TestSlowNumbers:
    """Numbers that are slow to decode are counted between pauses."""

    @pytest.mark.parametrize('shift', [0, 1, 2, 10, 18, 19])
    @pytest.mark.parametrize('number', [b'-1.797693134862315708', b'-123456e3'])
    def test_number_at_a_pause_is_counted_once(
        self, monkeypatch, number, shift
    ):
        raw = b'[1%b,%b]' % (b' ' * (BYTES_PER_PAUSE - 2 - shift), number)
        monkeypatch.setattr(object_messages, 'MAX_SLOW_NUMBERS', 1)
        decode_main(raw)
        monkeypatch.setattr(object_messages, 'MAX_SLOW_NUMBERS', 0)
        with pytest.raises(UnreadableError, match='long numbers'):
            decode_main(raw)


def decode_main(raw):
    """Decode a configuration that a peer has sent."""
    return object_messages.decode_spec('config', 'main', raw)


class TestTime:
    @pytest.mark.parametrize('kind', ['servers', 'config', 'evacuations'])
    @pytest.mark.parametrize('name', LARGE)
    async def test_large_objects_do_not_block_the_loop(self, name, kind):
        """Guards against an instance that stops for seconds."""
        instance = Follower()
        items = [
            make_object(f'odd-{number}', b'{"service":%b}' % LARGE[name])
            for number in range(2)
        ]
        if kind == 'config':
            items = [make_object('main', LARGE[name]), *items]
        items.append(make_object('a', target_spec()))
        stall_s = await async_measure_stall(instance.async_list(kind, items, 9))
        assert stall_s < MAX_STALL_S
        if kind == 'servers':
            assert instance.targets == {'a': 2}

    @pytest.mark.parametrize('name', LARGE)
    async def test_large_events_do_not_block_the_loop(self, name):
        instance = Follower()
        events = [
            make_event(f'odd-{number}', b'{"service":%b}' % LARGE[name])
            for number in range(2)
        ]
        events.append(make_event('a', target_spec()))
        stall_s = await async_measure_stall(
            instance.async_watch('servers', events, 9)
        )
        assert stall_s < MAX_STALL_S
        assert instance.targets == {'a': 2}


malformed = st.one_of(
    st.sampled_from(
        [spec for name, spec in UNREADABLE.items() if name not in BREAKING]
    ),
    st.sampled_from(sorted(LARGE.values())),
    # Fields that are missing, of another type, or given twice.
    st.sampled_from(
        [
            b'{}',
            b'null',
            b'[]',
            b'{"service":1}',
            b'{"service":"s","service":2}',
            target_spec(0),
            target_spec(zone='nowhere'),
        ]
    ),
    st.binary(max_size=30).filter(
        lambda spec: not set(spec) & set(b'"\\[]{},')
    ),
)


class TestAnyContent:
    @settings(max_examples=60)
    @given(
        valid=st.dictionaries(
            st.sampled_from('abcdef'), st.integers(1, 9), max_size=5
        ),
        odd=st.lists(malformed, max_size=4),
        breaking=st.lists(st.sampled_from(BREAKING), max_size=1),
        order=st.randoms(use_true_random=False),
        form=st.sampled_from(['list', 'watch', 'peer']),
    )
    def test_valid_targets_are_used_as_if_alone(
        self, valid, odd, breaking, order, form
    ):
        odd = [*odd, *(UNREADABLE[name] for name in breaking)]
        named = [(name, target_spec(slots)) for name, slots in valid.items()]
        named += [(f'odd-{number}', spec) for number, spec in enumerate(odd)]
        order.shuffle(named)

        async def async_apply():
            instance = Follower()
            await instance.async_list('servers', [], 7)
            if form == 'list':
                items = [make_object(name, spec) for name, spec in named]
                await instance.async_list('servers', items, 9)
            elif form == 'watch':
                events = [make_event(name, spec) for name, spec in named]
                await instance.async_watch('servers', events, 9)
            else:
                instance.deliver('servers', named, 9, whole=False)
            return instance.targets

        assert asyncio.run(async_apply()) == valid
