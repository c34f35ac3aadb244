"""Tests of the limits of what callers make a listener hold."""

import asyncio
from dataclasses import dataclass

import pytest

from bitternturn.http import const
from bitternturn.http.memory import (
    REFRESH_INTERVAL_S,
    CallerMemory,
    EvictionReason,
)
from bitternturn.http.models import Response
from bitternturn.http.parser_turns import ParserTurns
from bitternturn.http.server import HttpServer, ServerLimits

SMALL = const.SMALL_HOLDING_BYTES
HEAD = b'POST /x HTTP/1.1\r\nhost: a\r\n'
BODY_BYTES = 262_144


@dataclass(eq=False)
class FakeHolder:
    """A connection with a given size and age."""

    memory: CallerMemory
    size: int
    age_s: float = 0
    evictable: bool = True
    evicted: EvictionReason | None = None

    def held_bytes(self):
        return self.size

    def held_s(self):
        return self.age_s

    def is_evictable(self):
        return self.evictable

    def evict(self, reason):
        self.evicted = reason
        self.memory.discard(self)


def fill(memory, *holders):
    for holder in holders:
        memory.update(holder, holder.size)


class TestBudget:
    def test_largest_and_slowest_is_evicted_first(self):
        memory = CallerMemory(max_bytes=100 * SMALL)
        fast = FakeHolder(memory, 40 * SMALL)
        slow = FakeHolder(memory, 40 * SMALL, age_s=2)
        small = FakeHolder(memory, 2 * SMALL, age_s=2)
        fill(memory, fast, small, slow)
        assert slow.evicted is None
        newest = FakeHolder(memory, 30 * SMALL)
        fill(memory, newest)
        evicted = [it.evicted for it in (slow, fast, small, newest)]
        assert evicted == [EvictionReason.MEMORY, None, None, None]

    def test_ordinary_callers_are_never_evicted(self):
        """Many connections that hold much used up what ordinary callers need."""
        memory = CallerMemory(max_bytes=10 * SMALL)
        ordinary = [FakeHolder(memory, SMALL, age_s=60) for _ in range(500)]
        large_holders = [FakeHolder(memory, 4 * SMALL) for _ in range(50)]
        fill(memory, *ordinary, *large_holders)
        assert not any(it.evicted for it in ordinary)
        assert memory.total_bytes <= memory.max_bytes

    def test_request_that_runs_is_not_evicted(self):
        """A refusal would state that it has not run."""
        memory = CallerMemory(max_bytes=10 * SMALL)
        running = FakeHolder(memory, 9 * SMALL, age_s=9, evictable=False)
        reading = FakeHolder(memory, 2 * SMALL)
        fill(memory, running, reading)
        assert running.evicted is None
        assert reading.evicted is EvictionReason.MEMORY

    def test_responses_that_were_read_meanwhile_count_no_more(self):
        memory = CallerMemory(max_bytes=10 * SMALL)
        reader = FakeHolder(memory, 9 * SMALL)
        fill(memory, reader)
        reader.size = 0
        other = FakeHolder(memory, 9 * SMALL)
        fill(memory, other)
        assert reader.evicted is None
        assert other.evicted is None

    def test_sizes_are_not_read_at_each_update(self):
        """Guards against reading all sizes at each update.

        Requests that run exceed the budget alone, so that no eviction helps.
        """
        clock_s = [0.0]
        memory = CallerMemory(max_bytes=10 * SMALL, now=lambda: clock_s[0])
        reads = []

        class Running(FakeHolder):
            def held_bytes(self):
                reads.append(self)
                return self.size

        running = [
            Running(memory, 2 * SMALL, evictable=False) for _ in range(100)
        ]
        for _ in range(10):
            fill(memory, *running)
        assert len(reads) <= len(running)
        reading = FakeHolder(memory, 2 * SMALL)
        clock_s[0] += REFRESH_INTERVAL_S
        fill(memory, reading)
        assert reading.evicted is EvictionReason.MEMORY


class TestTurns:
    async def test_connections_parse_in_turn(self):
        """One connection with much input delayed all others."""

        class Parsing:
            def __init__(self, name, turns):
                self.name, self.turns = name, turns

            def take_turn(self):
                order.append(self.name)
                self.turns -= 1
                return self.turns > 0

        order = []
        turns = ParserTurns()
        turns.add(Parsing('long', 4))
        turns.add(Parsing('short', 2))
        while turns.waiting:
            await asyncio.sleep(0)
        assert order == ['long', 'short', 'long', 'short', 'long', 'long']

    async def test_error_of_one_connection_does_not_stop_the_others(self):
        """Guards against an error that stops all turns for ever."""

        class Parsing:
            def __init__(self, error=None):
                self.error, self.left, self.aborted = error, 2, False

            def take_turn(self):
                if self.error is not None:
                    raise self.error
                self.left -= 1
                return self.left > 0

            def abort(self):
                self.aborted = True

        turns = ParserTurns()
        failing, other = Parsing(ValueError('unexpected')), Parsing()
        turns.add(failing)
        turns.add(other)
        async with asyncio.timeout(5):
            while turns.waiting:
                await asyncio.sleep(0)
        assert (failing.aborted, other.aborted) == (True, False)
        assert other.left == 0


class Listener:
    """A server that records its handled requests and its evictions."""

    def __init__(
        self, *, max_bytes=const.DEFAULT_CALLER_MEMORY_BYTES, **limits
    ):
        self.bodies = []
        self.answer = b'whole'
        self.release = asyncio.Event()
        self.release.set()
        self.evictions = []
        self.server = HttpServer(
            handler=self.async_handle,
            limits=ServerLimits(**limits),
            memory=CallerMemory(max_bytes=max_bytes),
            on_eviction=self.evictions.append,
        )

    async def async_handle(self, request):
        self.bodies.append(len(request.body))
        await self.release.wait()
        return Response(body=self.answer)

    @property
    def reasons(self):
        return [eviction.reason for eviction in self.evictions]

    async def async_open(self, wire=b'', **options):
        """Open a connection and write to it."""
        reader, writer = await asyncio.open_connection(
            self.server.host, self.server.port, **options
        )
        writer.write(wire)
        return reader, writer

    async def async_ask(self, wire):
        """Return the head of the response to a request."""
        reader, writer = await self.async_open(wire)
        async with asyncio.timeout(30):
            head = await reader.readuntil(b'\r\n\r\n')
        writer.transport.abort()
        return head


@pytest.fixture
async def start():
    """Provide a function that starts a listener."""
    started = []

    async def start_listener(**fields):
        listener = Listener(**fields)
        started.append(listener.server)
        await listener.server.async_start(host='127.0.0.1', port=0)
        return listener

    yield start_listener
    for server in started:
        await server.async_stop()


def length_request(length, sent=None):
    """Return a request with a body, of which a part is sent."""
    head = HEAD + b'content-length: %d\r\n\r\n' % length
    return head + b'x' * (length if sent is None else sent)


async def async_wait_for(condition):
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


class TestMemory:
    async def test_large_holders_are_refused_as_not_run(self, start):
        listener = await start(max_bytes=4 * BODY_BYTES)
        large_holders = [
            await listener.async_open(
                length_request(BODY_BYTES, BODY_BYTES - 10)
            )
            for _ in range(6)
        ]
        await async_wait_for(lambda: len(listener.evictions) >= 4)
        refused = []
        for reader, _ in large_holders:
            try:
                async with asyncio.timeout(0.3):
                    refused.append(await reader.read())
            except TimeoutError:
                continue
        assert len(refused) >= 4
        for answer in refused:
            head = answer.partition(b'\r\n\r\n')[0].lower()
            assert head.startswith(b'http/1.1 503')
            assert b'connection: close' in head
            assert b'retry-after: 1' in head
        assert listener.bodies == []
        assert set(listener.reasons) == {EvictionReason.MEMORY}
        ordinary = await listener.async_ask(length_request(7))
        assert ordinary.startswith(b'HTTP/1.1 200')
        for _, writer in large_holders:
            writer.transport.abort()
        await async_wait_for(lambda: not listener.server.connections)
        assert listener.server.memory.total_bytes == 0

    async def test_reading_stops_while_requests_wait(self, start):
        """Requests that were sent ahead were all kept in memory."""
        listener = await start()
        listener.release.clear()
        _, writer = await listener.async_open(length_request(1) * 40_000)
        await async_wait_for(lambda: listener.bodies)
        await asyncio.sleep(0.2)
        (connection,) = listener.server.connections
        most = const.MAX_BYTES_AHEAD + const.SERVER_READ_BYTES
        assert 0 < connection.holding.unparsed_bytes() <= most
        writer.transport.abort()

    async def test_requests_sent_ahead_are_answered_in_order(self, start):
        listener = await start()
        wire = b''.join(length_request(size) for size in range(1, 900))
        reader, writer = await listener.async_open(wire)
        writer.write(HEAD + b'connection: close\r\ncontent-length: 0\r\n\r\n')
        answers = await reader.read()
        assert answers.count(b'HTTP/1.1 200') == 900
        assert listener.bodies == [*range(1, 900), 0]
        writer.close()

    async def test_next_request_waits_until_responses_are_read(self, start):
        listener = await start()
        listener.answer = b'x' * 50_000
        reader, writer = await listener.async_open(
            length_request(1) * 2000, limit=1024
        )
        await asyncio.sleep(0.5)
        handled = len(listener.bodies)
        (connection,) = listener.server.connections
        assert handled < 2000
        assert connection.holding.held_bytes() < 200_000
        while len(listener.bodies) < 2000:
            assert await reader.read(1 << 20)
        writer.transport.abort()

    async def test_unread_response_is_closed(self, start):
        listener = await start(idle_timeout_s=0.2)
        listener.answer = b'x' * 16_000_000
        _, writer = await listener.async_open(length_request(1), limit=1024)
        await async_wait_for(lambda: listener.evictions)
        assert listener.reasons == [EvictionReason.UNREAD_RESPONSE]
        await async_wait_for(lambda: not listener.server.connections)
        writer.transport.abort()

    async def test_memory_of_a_lost_connection_is_free(self, start):
        listener = await start()
        for size in (0, 10):
            _, writer = await listener.async_open(
                length_request(BODY_BYTES, BODY_BYTES - size)
            )
            listener.release.clear()
            await async_wait_for(lambda: listener.server.memory.total_bytes)
            writer.transport.abort()
            await async_wait_for(lambda: not listener.server.connections)
            assert listener.server.memory.total_bytes == 0


class TestWithinTheLimits:
    """No default is reached by a caller within the configured limits."""

    @pytest.mark.parametrize('chunk_bytes', [1, 1000, BODY_BYTES])
    async def test_chunks_of_any_size_are_served(self, start, chunk_bytes):
        listener = await start(
            max_body_bytes=BODY_BYTES, max_header_bytes=16_384
        )
        chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'x' * chunk_bytes)
        count, rest = divmod(BODY_BYTES, chunk_bytes)
        wire = chunk * count
        if rest:
            wire += b'%x\r\n%b\r\n' % (rest, b'x' * rest)
        head = await listener.async_ask(
            HEAD + b'transfer-encoding: chunked\r\n\r\n' + wire + b'0\r\n\r\n'
        )
        assert head.startswith(b'HTTP/1.1 200')
        assert listener.bodies == [BODY_BYTES]
        assert listener.evictions == []

    async def test_others_are_answered_while_chunks_are_parsed(self, start):
        """300 bodies in chunks of one byte kept the loop busy for minutes."""
        listener = await start()
        wire = HEAD + b'transfer-encoding: chunked\r\n\r\n'
        wire += b'1\r\nx\r\n' * 100_000
        busy = [await listener.async_open(wire) for _ in range(30)]
        for _ in range(5):
            head = await listener.async_ask(length_request(7))
            assert head.startswith(b'HTTP/1.1 200')
        assert listener.server.turns.waiting
        for _, writer in busy:
            writer.transport.abort()

    async def test_body_that_arrives_steadily_is_served(self, start):
        """Its total time may exceed the timeout of a body without progress."""
        listener = await start(header_timeout_s=0.4)
        reader, writer = await listener.async_open(length_request(20_000, 0))
        for _ in range(10):
            writer.write(b'x' * 2000)
            await asyncio.sleep(0.1)
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200')
        writer.close()

    async def test_body_that_trickles_is_refused(self, start):
        listener = await start(header_timeout_s=0.2)
        reader, writer = await listener.async_open(length_request(20_000, 10))
        trickle = asyncio.create_task(async_trickle(writer))
        head = await reader.readuntil(b'\r\n\r\n')
        trickle.cancel()
        assert head.startswith(b'HTTP/1.1 408')
        assert listener.reasons == [EvictionReason.STALLED_REQUEST]
        writer.close()

    async def test_later_head_has_the_timeout_of_heads(self, start):
        """A later head that never ended had the timeout of an idle connection."""
        listener = await start(header_timeout_s=0.2, idle_timeout_s=60)
        reader, writer = await listener.async_open(length_request(1))
        await reader.readuntil(b'whole')
        writer.write(HEAD)
        answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 408')
        writer.close()


async def async_trickle(writer):
    """Send a byte now and then."""
    while True:
        writer.write(b'x')
        await asyncio.sleep(0.02)


class TestConnections:
    async def test_new_caller_replaces_one_that_sent_nothing(self, start):
        listener = await start(max_connections=4)
        kept = await listener.async_open(length_request(1))
        await kept[0].readuntil(b'whole')
        opened = [await listener.async_open() for _ in range(9)]
        head = await listener.async_ask(length_request(1))
        assert head.startswith(b'HTTP/1.1 200')
        kept[1].write(length_request(2))
        assert await kept[0].readuntil(b'whole')
        await async_wait_for(lambda: len(listener.server.connections) <= 4)
        assert set(listener.reasons) == {EvictionReason.CONNECTIONS}
        for _, writer in (kept, *opened):
            writer.transport.abort()

    async def test_running_requests_are_not_given_up(self, start):
        listener = await start(max_connections=3)
        listener.release.clear()
        running = [
            await listener.async_open(length_request(1)) for _ in range(3)
        ]
        await async_wait_for(lambda: len(listener.bodies) == 3)
        head = await listener.async_ask(length_request(1))
        assert head.startswith(b'HTTP/1.1 503')
        assert b'retry-after: 1' in head
        assert len(listener.bodies) == 3
        listener.release.set()
        for reader, writer in running:
            assert await reader.readuntil(b'whole')
            writer.close()

    async def test_callers_with_much_sent_ahead_make_room(self, start):
        """An ordinary caller was refused while all others sent ahead."""
        listener = await start(max_connections=3)
        listener.release.clear()
        ahead = [
            await listener.async_open(length_request(1) * 1000)
            for _ in range(3)
        ]
        await async_wait_for(lambda: len(listener.bodies) == 3)
        await async_wait_for(
            lambda: all(
                it.holding.is_evictable() for it in listener.server.connections
            )
        )
        asked = asyncio.create_task(listener.async_ask(length_request(7)))
        await async_wait_for(lambda: 7 in listener.bodies)
        listener.release.set()
        assert (await asked).startswith(b'HTTP/1.1 200')
        for _, writer in ahead:
            writer.transport.abort()

    async def test_large_holder_makes_room_before_an_older_caller(self, start):
        """Guards against closing a waiting caller before one that holds much."""
        listener = await start(max_connections=3)
        idle = await listener.async_open(length_request(1))
        await idle[0].readuntil(b'whole')
        opened = await listener.async_open()
        await asyncio.sleep(const.NEW_CONNECTION_S)
        large_holder = await listener.async_open(
            length_request(BODY_BYTES, BODY_BYTES - 10)
        )
        await async_wait_for(lambda: listener.server.memory.total_bytes)
        newest = await listener.async_open(length_request(2))
        await newest[0].readuntil(b'whole')
        await async_wait_for(lambda: listener.evictions)
        assert listener.evictions[0].held_bytes > SMALL
        for _, writer in (idle, opened, large_holder, newest):
            writer.write(length_request(3))
        for reader, _ in (idle, opened, newest):
            assert await reader.readuntil(b'whole')
        for _, writer in (idle, opened, large_holder, newest):
            writer.transport.abort()

    async def test_new_connections_exceed_the_limit_by_a_few(self, start):
        """Guards against new connections that use up the descriptors."""
        listener = await start(max_connections=4)
        connections = listener.server.connections
        most = 0
        opened = []
        for _ in range(60):
            opened.append(await listener.async_open())
            held = sum(not it.holding.is_ending() for it in connections)
            most = max(most, held)
        assert most <= 4 + const.MAX_NEW_BEYOND_LIMIT
        await async_wait_for(lambda: len(connections) <= 4)
        for _, writer in opened:
            writer.transport.abort()

    async def test_drain_waits_for_bodies_but_not_for_heads(self, start):
        """Guards against a drain that cuts a request whose body arrives."""
        listener = await start(header_timeout_s=20)
        head_reader, head_writer = await listener.async_open(HEAD)
        reader, writer = await listener.async_open(length_request(9, 5))
        await async_wait_for(
            lambda: any(it.request for it in listener.server.connections)
        )
        drain = asyncio.create_task(listener.server.async_drain())
        async with asyncio.timeout(10):
            assert await head_reader.read() == b''
        assert not drain.done()
        writer.write(b'rest')
        assert (await reader.read()).startswith(b'HTTP/1.1 200')
        await drain
        for each in (head_writer, writer):
            each.close()

    async def test_malformed_bytes_do_not_end_the_request_before(self, start):
        """Guards against losing the response of a request that has run."""
        listener = await start()
        listener.release.clear()
        reader, writer = await listener.async_open(
            length_request(1) + b'\0\1\r\n\r\n'
        )
        await async_wait_for(lambda: listener.bodies)
        writer.write(b'\0\1\r\n\r\n')
        await asyncio.sleep(0.1)
        listener.release.set()
        answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 200')
        assert answer.count(b'HTTP/1.1 400') == 1
        writer.close()

    async def test_drain_of_many_connections_ends(self, start):
        """Each connection that closed woke a waiter for each other one."""
        listener = await start()
        opened = [await listener.async_open() for _ in range(300)]
        await async_wait_for(lambda: len(listener.server.connections) == 300)
        async with asyncio.timeout(10):
            await listener.server.async_drain()
        for _, writer in opened:
            writer.transport.abort()
