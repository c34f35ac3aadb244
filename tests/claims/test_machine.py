"""State machine: a request runs at most once despite faults of the store."""

import asyncio
import random
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from bitternturn.claims.client import ClaimClient
from bitternturn.claims.coordinator import ClaimCoordinator
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.core.tasks import TaskSet
from bitternturn.platform.models import StoredObject
from bitternturn.schema.peers_pb2 import (
    CLAIM_STATE_DONE,
    CLAIM_STATE_GRANTED,
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    Hello,
)

KEYS = st.sampled_from([f'key-{number}' for number in range(6)])
FAULTS = st.sampled_from(['none', 'refused', 'lost', 'late'])


class FaultyStore:
    """A store whose writes may fail, lose their result or commit late."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.faults = []
        self.delayed = []

    async def async_get(self, kind, name):
        return self.objects.get(name)

    async def async_put(self, *, kind, name, value, if_version):
        fault = self.faults.pop(0) if self.faults else 'none'
        if fault == 'refused':
            raise failure(ErrorCode.PLATFORM_UNREACHABLE)
        if fault == 'late':
            self.delayed.append((name, value, if_version))
            raise failure(ErrorCode.UNKNOWN_RESULT)
        version = self.commit(name, value, if_version)
        if version is None:
            raise failure(ErrorCode.CONFLICT)
        if fault == 'lost':
            raise failure(ErrorCode.UNKNOWN_RESULT)
        return version

    def commit(self, name, value, if_version):
        current = self.objects.get(name)
        if (current.version if current else 0) != if_version:
            return None
        self.version += 1
        self.objects[name] = StoredObject(
            kind='claims',
            name=name,
            version=Version(self.version),
            value=value,
        )
        return Version(self.version)


def failure(code):
    return BitternturnError(code=code, step='put', peer='store')


class LossyPeer:
    """A link to a coordinator that may lose replies."""

    def __init__(self, coordinator, lost):
        self.coordinator = coordinator
        self.lost = lost

    async def async_claim(self, request: ClaimRequest) -> ClaimReply:
        reply = await self.coordinator.async_handle(request)
        if self.lost.pop(0) if self.lost else False:
            raise failure(ErrorCode.PEER_UNREACHABLE)
        return reply


class ClaimMachine(RuleBasedStateMachine):
    """Two coordinators, and callers that claim, run and record."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = FaultyStore()
        self.tasks = TaskSet()
        self.lost = []
        coordinators = [
            ClaimCoordinator(
                objects=self.store, wall_ms=lambda: 1, tasks=self.tasks
            )
            for _ in range(2)
        ]
        self.client = ClaimClient(
            coordinators=lambda key: [
                LossyPeer(it, self.lost) for it in coordinators
            ],
            hello=Hello,
            rng=random.Random(1),
            tasks=self.tasks,
        )
        self.runs = Counter()

    def teardown(self):
        self.loop.run_until_complete(self.tasks.async_stop())
        self.loop.close()

    @rule()
    def commit_delayed_write(self):
        if self.store.delayed:
            self.store.commit(*self.store.delayed.pop(0))

    @rule(
        key=KEYS,
        end=st.sampled_from(['done', 'not run', 'crash']),
        faults=st.lists(FAULTS, max_size=3),
        lost=st.lists(st.booleans(), max_size=2),
    )
    def send(self, key, end, faults, lost):
        self.store.faults = faults
        self.lost[:] = lost
        self.loop.run_until_complete(self._async_send(key, end))

    @rule(keys=st.lists(KEYS, min_size=2, max_size=3))
    def race(self, keys):
        async def async_race():
            await asyncio.gather(
                *(self._async_send(key, 'crash') for key in keys)
            )

        self.loop.run_until_complete(async_race())

    async def _async_send(self, key, end):
        ticket = self.client.make_ticket(key=key, index='i', body=b'{}')
        claimed = await self.client.async_claim(ticket)
        if claimed.reply.state == CLAIM_STATE_DONE:
            assert self.runs[key] == 1
        if claimed.reply.state != CLAIM_STATE_GRANTED:
            return
        if end == 'not run':
            await self._async_record(claimed.ticket, ClaimOutcome(done=False))
            return
        self.runs[key] += 1
        if end == 'done':
            outcome = ClaimOutcome(done=True, status=200, body=b'x')
            await self._async_record(claimed.ticket, outcome)

    async def _async_record(self, ticket, outcome):
        request = self.client._make_request(ticket)
        request.outcome.CopyFrom(outcome)
        await self.client._async_try_record(request)

    @invariant()
    def at_most_once(self):
        assert max(self.runs.values(), default=0) <= 1


TestClaims = ClaimMachine.TestCase
TestClaims.settings = settings(max_examples=300)
