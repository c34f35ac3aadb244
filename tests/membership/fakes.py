"""Fakes for tests of membership: virtual time, store and network."""

import asyncio
import random
from dataclasses import dataclass, field

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.tasks import TaskSet
from bitternturn.membership.models import MembershipHooks, Runtime
from bitternturn.membership.service import MembershipService
from bitternturn.schema.config_pb2 import Target
from bitternturn.schema.membership_pb2 import Member
from bitternturn.schema.peers_pb2 import (
    FetchReply,
    Hello,
    TargetState,
    Versions,
)
from bitternturn.schema.settings_pb2 import MembershipSettings


class VirtualLoop(asyncio.SelectorEventLoop):
    """Jumps to the next timer instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        select = self._selector.select

        def jump(timeout):
            self.now_s += timeout or 0
            return select(0)

        self._selector.select = jump

    def time(self):
        return self.now_s


def run(coroutine):
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.wait(tasks))
        loop.close()


@dataclass
class Stored:
    version: int
    value: bytes


@dataclass
class FakeStore:
    """One linearizable object, with outages.

    `cut` names the instances that cannot reach it.
    """

    stored: Stored | None = None
    last_version: int = 0
    down: bool = False
    lose_answers: bool = False
    cut: set = field(default_factory=set)
    reads: int = 0
    writes: int = 0

    def client(self, name):
        return StoreClient(self, name)


class StoreClient:
    def __init__(self, store, name):
        self.store = store
        self.name = name

    async def _reach(self):
        await asyncio.sleep(0.004)
        if self.store.down or self.name in self.store.cut:
            await asyncio.sleep(0.3)
            raise BitternturnError(
                code=ErrorCode.PLATFORM_UNREACHABLE, step='object_get'
            )

    async def async_get(self, kind, name):
        await self._reach()
        self.store.reads += 1
        return self.store.stored

    async def async_put(self, *, kind, name, value, if_version):
        await self._reach()
        stored = self.store.stored
        if if_version != (stored.version if stored else 0):
            raise BitternturnError(code=ErrorCode.CONFLICT, step='object_put')
        self.store.writes += 1
        self.store.last_version += 3
        self.store.stored = Stored(self.store.last_version, value)
        if self.store.lose_answers:
            raise BitternturnError(
                code=ErrorCode.UNKNOWN_RESULT, step='object_put'
            )
        return self.store.last_version


class FakeLink:
    def __init__(self, net, sender, port):
        self.net = net
        self.sender = sender
        self.port = port

    async def _reach(self):
        await asyncio.sleep(0.0015)
        receiver = self.net.instances.get(self.port)
        if receiver is None or self.net.is_cut(self.sender, receiver):
            await asyncio.sleep(1)
            raise BitternturnError(
                code=ErrorCode.PEER_UNREACHABLE, step='peer_call'
            )
        return receiver.service

    def _hello(self):
        me = self.sender.service.me
        return Hello(incarnation=me.incarnation, member=me)

    async def async_probe(self, request):
        request.hello.CopyFrom(self._hello())
        service = await self._reach()
        reply = await service.async_handle_probe(request)
        await asyncio.sleep(0.0015)
        hello = Hello(incarnation=service.me.incarnation, member=service.me)
        self.sender.service.on_peer_message(hello, reply.versions)
        return reply

    async def async_fetch(self, request):
        service = await self._reach()
        return FetchReply(versions=Versions(), view=service.view)

    async def async_handover(self, request):
        request.hello.CopyFrom(self._hello())
        service = await self._reach()
        return await service.async_handle_handover(request)


class Instance:
    """An instance with its service; records events and started targets."""

    def __init__(self, net, number, domain):
        self.net = net
        self.name = f'i{number}'
        self.domain = domain
        self.port = number
        self.started_states = []
        self.events = []
        self.tasks = TaskSet()
        rng = random.Random(number)
        self.service = MembershipService(
            me=Member(
                instance_id=self.name,
                incarnation=rng.getrandbits(63),
                failure_domain=domain,
                peer_host='h',
                peer_port=number,
            ),
            settings=MembershipSettings(),
            objects=net.store.client(self.name),
            links=lambda host, port: FakeLink(net, self, port),
            runtime=Runtime(
                now=asyncio.get_running_loop().time,
                rng=rng,
                tasks=self.tasks,
                event=lambda kind, **info: self.events.append((kind, info)),
            ),
            hooks=MembershipHooks(
                targets=lambda: net.targets,
                async_release_target=self.async_release,
                start_target=self.started_states.append,
            ),
        )

    async def async_release(self, target):
        await asyncio.sleep(0.02)
        return TargetState(target=target, warm=True)

    async def async_crash(self):
        self.net.instances.pop(self.port)
        await self.tasks.async_stop()


class Network:
    """Instances that reach each other unless their domains are cut off."""

    def __init__(self, targets=16, domains=('a', 'b', 'c', 'd')):
        self.store = FakeStore()
        self.domains = domains
        self.targets = [
            Target(id=f't{index}', failure_domain=domains[index % len(domains)])
            for index in range(targets)
        ]
        self.instances = {}
        self.cuts = set()

    def is_cut(self, one, other):
        return one.domain != other.domain and bool(
            {one.domain, other.domain} & self.cuts
        )

    async def async_add(self, count):
        base = max(self.instances, default=0)
        for number in range(base + 1, base + count + 1):
            domain = self.domains[number % len(self.domains)]
            instance = Instance(self, number, domain)
            self.instances[number] = instance
            await instance.service.async_start()

    def senders(self, target):
        now = asyncio.get_running_loop().time()
        return [
            instance
            for instance in self.instances.values()
            if instance.service.may_send(target.id, now)
        ]

    def unserved(self):
        return [
            target.id for target in self.targets if not self.senders(target)
        ]

    def served_twice(self):
        return [
            target.id
            for target in self.targets
            if len(self.senders(target)) > 1
        ]

    async def async_until_served(self, limit_s):
        """Wait until all targets have a sender; return the time that took."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while self.unserved():
            await asyncio.sleep(0.01)
            assert not self.served_twice()
            assert loop.time() - began < limit_s, self.unserved()
        return loop.time() - began
