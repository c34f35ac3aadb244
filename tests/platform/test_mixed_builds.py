"""Tests of an old and the present build that run side by side.

They guard against a message between instances, an object of the store or a
setting that one of two consecutive builds handles differently from the other.
"""

import asyncio
import contextlib
import random
import subprocess
import sys

import pytest

from bitternturn.http.client import async_connect
from bitternturn.platform.wire_names import KIND_DOMAINS_OUT
from bitternturn.standins.platform_target import ScriptedBehaviour
from bitternturn.standins.target_links import Cut
from tests.platform.mixed_fleet import (
    HOST,
    NEW_DOMAIN,
    OLD_COMMIT,
    OLD_DOMAIN,
    REMOTE_DOMAIN,
    ROOT,
    ROUTES,
    WHOLE_BODY,
    MixedFleet,
    async_repeat_until,
    find_old_source,
    make_configuration,
    make_route,
)

SEED = 1
WIDE_REQUESTS = 12
SINGLE_REQUESTS = 40
# Connections over which callers keep sending while an instance is replaced.
CALLERS = 6
TENANT = {'name': 'blue', 'api-keys': ['blue-key'], 'priority': 1}
# What a caller may state itself.
STATED_TENANT = (('x-tenant', 'red'),)


@pytest.fixture(scope='module')
def old_source(tmp_path_factory):
    """Provide the folder with the source of the old build."""
    source = find_old_source(tmp_path_factory.mktemp('old_build'))
    if source is None:
        pytest.skip(f'commit {OLD_COMMIT} is not in the history of this clone')
    return source


@contextlib.asynccontextmanager
async def running_fleet(folder, old_source, *, separate_links, **changes):
    """Provide a fleet of both builds with a configuration."""
    fleet = MixedFleet(folder, old_source, separate_links=separate_links)
    try:
        await fleet.async_start(make_configuration(7, **changes))
        yield fleet
    finally:
        await fleet.async_stop()


@pytest.fixture
async def fleet(tmp_path, old_source):
    """Provide a fleet of both builds that exchange what they read."""
    async with running_fleet(
        tmp_path, old_source, separate_links=False
    ) as running:
        yield running


@pytest.fixture
async def linked_fleet(tmp_path, old_source):
    """Provide a fleet of both builds whose instances can be cut off."""
    async with running_fleet(
        tmp_path, old_source, separate_links=True
    ) as running:
        yield running


@pytest.fixture
async def tenant_fleet(tmp_path, old_source):
    """Provide a fleet of both builds with a tenant, who has a key."""
    async with running_fleet(
        tmp_path, old_source, separate_links=True, tenants=[TENANT]
    ) as running:
        yield running


def choose_paths(rng, count):
    """Return paths of requests to one target, of both types."""
    return [
        f'/{rng.choice(("one", "once"))}/{number}' for number in range(count)
    ]


def check_whole(answers):
    """Check that wide answers have the parts of all shards."""
    for request_id, response in answers:
        assert response is not None, request_id
        assert response.status == 200, (request_id, response.body)
        assert response.headers['x-missing-parts'] == '0'
        assert response.body == WHOLE_BODY


def statuses(answers):
    """Return the statuses of answers, 0 without one."""
    return [response.status if response else 0 for _, response in answers]


def ids(answers):
    """Return the ids of the requests."""
    return [request_id for request_id, _ in answers]


async def async_cut_off(fleet, instances, kind=Cut.RESET):
    """Cut instances off from the remote domain until they take other paths."""
    for instance in instances:
        instance.links.cut(kind)
    await async_repeat_until(
        lambda: fleet.async_ask_all(instances, ['/one/x'], key='blue-key'),
        lambda answers: set(statuses(answers)) == {200},
    )
    # No request can take the direct way.
    ports = {target.port for target in fleet.single_targets}
    for instance in instances:
        assert not instance.connected_ports() & ports


class TestBuilds:
    def test_builds_differ(self, old_source):
        """The tests would show nothing if both processes ran one build."""
        found = [
            subprocess.run(
                [
                    sys.executable,
                    '-c',
                    'import bitternturn.schema.relay_pb2 as schema;'
                    'print(schema.__file__, hasattr(schema, "QuotaAsk"))',
                ],
                cwd=source,
                env={'PYTHONPATH': str(source)},
                capture_output=True,
                text=True,
                check=True,
            ).stdout.split()
            for source in (old_source, ROOT)
        ]
        assert [has_quotas for _, has_quotas in found] == ['False', 'True']
        assert found[0][0].startswith(str(old_source))


class TestRequests:
    async def test_wide_requests_are_complete(self, fleet):
        """Each request has parts that a delegate of either build sends."""
        paths = [f'/all/{number}' for number in range(WIDE_REQUESTS)]
        answers = await fleet.async_serve_all(fleet.instances, paths)
        check_whole(answers)
        # Delegates of both builds have sent parts of entries of both builds.
        count = len(fleet.instances)
        for domain in (OLD_DOMAIN, NEW_DOMAIN):
            targets = [
                it for it in fleet.shard_targets if it.id.startswith(domain)
            ]
            reached = {it.id for it in fleet.received(targets, ids(answers))}
            for number in range(count):
                assert reached.intersection(ids(answers)[number::count])

    @pytest.mark.parametrize('entries', ['old', 'new'])
    async def test_delegates_send_for_the_other_build(self, fleet, entries):
        """All parts are in the domain of the other build's instances.

        Reports of parts can only come from these.
        """
        instances = getattr(fleet, entries)
        out = OLD_DOMAIN if entries == 'old' else NEW_DOMAIN
        fleet.store.put(KIND_DOMAINS_OUT, out, {})
        targets = [it for it in fleet.shard_targets if it.id.startswith(out)]
        paths = ['/all/x'] * WIDE_REQUESTS
        await async_repeat_until(
            lambda: fleet.async_serve_all(instances, paths),
            lambda answers: not fleet.received(targets, ids(answers)),
        )
        before = [await it.async_count_part_bytes() for it in instances]

        async def async_count_reports():
            """Send requests; return how much has been reported since."""
            check_whole(await fleet.async_serve_all(instances, paths))
            after = [await it.async_count_part_bytes() for it in instances]
            return [
                later - earlier
                for earlier, later in zip(before, after, strict=True)
            ]

        # An entry sends directly while a paused delegate does not answer.
        wanted = len(WHOLE_BODY) * WIDE_REQUESTS / 2
        await async_repeat_until(
            async_count_reports, lambda reported: min(reported) > wanted
        )

    async def test_failing_targets(self, fleet):
        """Targets that fail in every way must not make a request run twice."""
        rng = random.Random(SEED)
        faults = (
            ScriptedBehaviour.NOT_RUN,
            ScriptedBehaviour.DROP_ANSWER,
            ScriptedBehaviour.RESET,
            ScriptedBehaviour.FAIL,
            ScriptedBehaviour.MISDIRECTED,
        )

        def choose_behaviour(_count):
            """Return a fault for every fourth request."""
            if rng.random() < 0.25:
                return rng.choice(faults)
            return ScriptedBehaviour.ANSWER

        for target in fleet.targets:
            target.script = choose_behaviour
        paths = choose_paths(rng, SINGLE_REQUESTS)
        await fleet.async_ask_all(fleet.instances, paths)
        await fleet.async_ask_all(fleet.instances, ['/all/x'] * 4)
        assert None not in fleet.answers.values()
        assert fleet.once_ids
        fleet.check_guarantees()

    @pytest.mark.parametrize('kind', [Cut.RESET, Cut.SILENT])
    @pytest.mark.parametrize('cut_off', ['old', 'new'])
    async def test_instances_that_are_cut_off(
        self, linked_fleet, cut_off, kind
    ):
        """The other build sends requests to one target for them."""
        fleet = linked_fleet
        rng = random.Random(SEED)
        instances = getattr(fleet, cut_off)
        await async_cut_off(fleet, instances, kind)
        paths = choose_paths(rng, SINGLE_REQUESTS)
        answers = await fleet.async_serve_all(instances, paths)
        assert set(statuses(answers)) == {200}
        for request_id in ids(answers):
            # Those of the idempotent route may have been hedged.
            assert fleet.count_runs(request_id) >= 1
        assert fleet.once_ids
        fleet.check_guarantees()

    async def test_tenants(self, tenant_fleet):
        """The old build knows neither keys nor tenants.

        A new delegate that passes on what an old entry has sent would show the
        caller's key to targets; so would an old delegate with what a new entry
        sends.
        """
        fleet = tenant_fleet
        fields = {'key': 'blue-key', 'headers': STATED_TENANT}
        answers = await fleet.async_serve_all(
            fleet.new, ['/all/x', '/one/x', '/once/x'] * 4, **fields
        )
        await async_cut_off(fleet, fleet.new)
        answers += await fleet.async_serve_all(
            fleet.new, ['/one/x', '/once/x'] * 10, **fields
        )
        assert set(statuses(answers)) == {200}
        received = fleet.received(fleet.targets, ids(answers))
        assert received
        for request in received:
            assert 'x-api-key' not in request.headers
            assert request.headers['x-tenant'] == 'blue'
        refused = await fleet.async_ask_all(
            fleet.new, ['/all/x', '/one/x'], key='other-key'
        )
        assert set(statuses(refused)) == {401}
        assert not fleet.received(fleet.targets, ids(refused))

    async def test_key_that_an_old_entry_sends_to_a_new_delegate(
        self, tenant_fleet
    ):
        """An old entry forwards the key and the tenant that its caller states."""
        fleet = tenant_fleet
        fields = {'key': 'blue-key', 'headers': STATED_TENANT}
        # Parts of wide requests that an old entry sends directly carry the key.
        check_whole(
            await fleet.async_serve_all(fleet.old, ['/all/x'] * 6, **fields)
        )
        await async_cut_off(fleet, fleet.old)
        single = await fleet.async_serve_all(
            fleet.old, ['/one/x', '/once/x'] * 10, **fields
        )
        assert set(statuses(single)) == {200}
        received = fleet.received(fleet.single_targets, ids(single))
        assert received
        for request in received:
            assert 'x-api-key' not in request.headers
            assert 'x-tenant' not in request.headers


class TestTargets:
    @pytest.mark.parametrize('cut_off', ['none', 'old', 'new'])
    async def test_rate_limit(self, linked_fleet, cut_off):
        """A limit that a target names reaches entries through either build."""
        fleet = linked_fleet
        if cut_off != 'none':
            await async_cut_off(fleet, getattr(fleet, cut_off))
        for target in fleet.single_targets:
            target.rate_limit = '20'
        for target in fleet.shard_targets:
            if target.id.startswith(OLD_DOMAIN):
                target.rate_limit = '40'
        paths = choose_paths(random.Random(SEED), SINGLE_REQUESTS)
        for path in paths:
            await fleet.async_ask_all(fleet.instances, [path])
        wide = await fleet.async_ask_all(fleet.instances, ['/all/x'] * 4)
        assert None not in fleet.answers.values()
        assert {200, 503}.issuperset(statuses(wide))
        fleet.check_guarantees()
        for target in fleet.single_targets:
            target.rate_limit = None
        for target in fleet.shard_targets:
            target.rate_limit = None
        await async_repeat_until(
            lambda: fleet.async_ask_all(fleet.instances, ['/one/x', '/all/x']),
            lambda answers: set(statuses(answers)) == {200},
        )

    @pytest.mark.parametrize('cut_off', ['none', 'old', 'new'])
    async def test_draining_target(self, linked_fleet, cut_off):
        """Its requests move to others, also those that take detours."""
        fleet = linked_fleet
        if cut_off != 'none':
            await async_cut_off(fleet, getattr(fleet, cut_off))
        leaving = fleet.single_targets[0]
        shard = fleet.shard_targets[0]
        leaving.leaving = shard.leaving = True
        fleet.register(leaving, 'single', REMOTE_DOMAIN, state='draining')
        fleet.register(shard, 's0', OLD_DOMAIN, state='draining')
        paths = [*choose_paths(random.Random(SEED), 10), '/all/x']

        def avoids(answers):
            """Return whether no request has reached the leaving targets."""
            assert set(statuses(answers)) == {200}
            return not fleet.received([leaving, shard], ids(answers))

        await async_repeat_until(
            lambda: fleet.async_serve_all(fleet.instances, paths), avoids
        )
        answers = await fleet.async_serve_all(fleet.instances, paths)
        assert avoids(answers)
        fleet.check_guarantees()

    @pytest.mark.parametrize('domain', [OLD_DOMAIN, NEW_DOMAIN])
    async def test_domain_out_of_service(self, fleet, domain):
        """No build sends to its targets, and all answers stay complete."""
        out = [it for it in fleet.shard_targets if it.id.startswith(domain)]
        fleet.store.put(KIND_DOMAINS_OUT, domain, {})
        paths = ['/all/x'] * 4

        def avoids(answers):
            """Return whether no part has reached the domain."""
            check_whole(answers)
            return not fleet.received(out, ids(answers))

        await async_repeat_until(
            lambda: fleet.async_serve_all(fleet.instances, paths), avoids
        )
        assert avoids(await fleet.async_serve_all(fleet.instances, paths))
        fleet.store.delete(KIND_DOMAINS_OUT, domain)
        await async_repeat_until(
            lambda: fleet.async_serve_all(fleet.instances, paths),
            lambda answers: not avoids(answers),
        )
        fleet.check_guarantees()

    async def test_configuration_change(self, fleet):
        """All instances take a new version, also one with unknown fields."""
        added = make_route('added', service='single', public=True)
        fleet.store.put(
            'config', 'main', make_configuration(8, routes=[*ROUTES, added])
        )
        await async_repeat_until(
            lambda: fleet.async_serve_all(fleet.instances, ['/added/x']),
            lambda answers: set(statuses(answers)) == {200},
        )
        fleet.store.put('config', 'main', make_configuration(9))
        await async_repeat_until(
            lambda: fleet.async_serve_all(fleet.instances, ['/added/x']),
            lambda answers: set(statuses(answers)) == {404},
        )
        check_whole(
            await fleet.async_serve_all(fleet.instances, ['/all/x'] * 2)
        )
        fleet.check_guarantees()


class Callers:
    """Callers that keep sending to an instance over kept connections."""

    def __init__(self, fleet, instance):
        self.fleet = fleet
        self.instance = instance
        self.answers = []
        self.tasks = []

    async def async_start(self):
        """Send the first request over each connection and go on."""
        for number in range(CALLERS):
            connection = await async_connect(
                host=HOST, port=self.instance.ports['front']
            )
            self.tasks.append(
                asyncio.ensure_future(self._async_call(number, connection))
            )

    async def _async_call(self, number, connection):
        """Send requests until the connection closes."""
        path = ('/all/x', '/one/x', '/once/x')[number % 3]
        while True:
            request_id, response = await self.fleet.async_ask(
                self.instance, path, connection=connection
            )
            self.answers.append((request_id, response))
            if response is None:
                return
            if response.headers.get('connection') == 'close':
                return

    async def async_finish(self):
        """Wait until all connections have been closed."""
        await asyncio.gather(*self.tasks)


async def async_replace(fleet, instance, source):
    """Replace an instance by one of a build while requests are under way."""
    callers = Callers(fleet, instance)
    await callers.async_start()
    # Each caller has at least one answer, and requests that are under way.
    await async_repeat_until(
        lambda: asyncio.sleep(0.01),
        lambda _: len(callers.answers) >= 2 * CALLERS,
    )
    instance.terminate()
    assert await instance.async_wait_until_stopped() == 0, instance.read_log()
    await callers.async_finish()
    for request_id, response in callers.answers:
        if response is None:
            # Only a request that was not read may stay without an answer.
            assert not fleet.runs_anywhere(request_id), request_id
        else:
            assert response.status in {200, 503}, (request_id, response.body)
    fleet.check_guarantees()
    await instance.async_start(source)
    await instance.async_wait_until_ready()


class TestReplacement:
    async def test_replacement_and_roll_back(self, fleet):
        """Every request that an instance has read gets an answer."""
        for target in fleet.targets:
            target.delay_s = 0.05
        paths = ['/all/x', '/one/x', '/once/x'] * 2
        instances = fleet.old
        for source in (ROOT, fleet.old_source):
            for instance in instances:
                await async_replace(fleet, instance, source)
                await async_repeat_until(
                    lambda: fleet.async_serve_all(fleet.instances, paths),
                    lambda answers: set(statuses(answers)) == {200},
                )
        fleet.check_guarantees()
