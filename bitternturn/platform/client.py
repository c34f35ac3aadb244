"""Client of the object API: conditional writes that know their result."""

import asyncio
import contextlib
import random
from collections.abc import AsyncGenerator, Awaitable, Callable

import msgspec

from bitternturn.core.clock import Clock
from bitternturn.core.decoding import DECODE_ERRORS
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.http import const as http
from bitternturn.platform import const
from bitternturn.platform.budget import CallBudget, make_backoff
from bitternturn.platform.models import (
    Answer,
    ObjectList,
    StoredObject,
    TimedObject,
    WriteBody,
    WriteReply,
    decode_object,
)
from bitternturn.platform.transport import ObjectTransport, read_failure
from bitternturn.platform.watch import watch_lines

# Failures after which a call may be made again.
REPEATED = frozenset(
    (
        ErrorCode.PLATFORM_BUSY,
        ErrorCode.PLATFORM_UNREACHABLE,
        ErrorCode.UNKNOWN_RESULT,
    ),
)


class ObjectClient:
    """Reads, writes and watches objects; repeats calls where it is safe."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        timeout_s: float,
        rng: random.Random,
        now: Clock,
        budget: CallBudget | None = None,
        heartbeat_s: float = const.DEFAULT_HEARTBEAT_S,
        attempts: int = const.DEFAULT_ATTEMPTS,
    ) -> None:
        """Hold the address; connections are opened when needed."""
        self.rng = rng
        self.heartbeat_s = heartbeat_s
        self.attempts = attempts
        self.transport = ObjectTransport(
            host=host,
            port=port,
            timeout_s=timeout_s,
            now=now,
            budget=budget
            or CallBudget(
                rate=const.DEFAULT_CALLS_PER_S,
                burst=const.DEFAULT_CALL_BURST,
            ),
        )
        self.pause_s = make_backoff(
            base_s=const.DEFAULT_BACKOFF_S,
            cap_s=const.DEFAULT_BACKOFF_CAP_S,
            uniform=rng.uniform,
        )

    @property
    def reached_at(self) -> float | None:
        """Start of the last successful call on the client's clock."""
        return self.transport.reached_at

    @property
    def failed_at(self) -> float | None:
        """When the last failure was noticed on the client's clock."""
        return self.transport.failed_at

    def close(self) -> None:
        """Close the idle connections."""
        self.transport.close()

    async def async_get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object as it stands, or None.

        Raises BitternturnError PLATFORM_BUSY or PLATFORM_UNREACHABLE.
        """
        return (await self.async_get_timed(kind, name)).stored

    async def async_get_timed(self, kind: str, name: str) -> TimedObject:
        """Return what `async_get` does and when that very read was started.

        `reached_at` may belong to a later call, so it can't tell how old
        the object is at most.
        """
        path = _object_path(kind, name)
        response = await self.async_read(path)
        stored = None
        if response.status != http.STATUS_NOT_FOUND:
            stored = self._decode(response, path)
        return TimedObject(stored=stored, started_at=response.started_at)

    async def async_list(self, kind: str) -> ObjectList:
        """Return all objects of a kind.

        Raises BitternturnError PLATFORM_BUSY or PLATFORM_UNREACHABLE.
        """
        path = f'{const.PATH_OBJECTS}/{kind}'
        response = await self.async_read(path)
        try:
            return msgspec.json.decode(response.body, type=ObjectList)
        except DECODE_ERRORS as error:
            raise self._bad_answer(path, error) from error

    async def async_put(
        self,
        *,
        kind: str,
        name: str,
        value: bytes,
        if_version: Version,
    ) -> Version:
        """Write an object if it still has a version; 0: if there is none.

        A write whose answer was lost is looked for by its token. Raises
        BitternturnError CONFLICT, PLATFORM_BUSY or PLATFORM_UNREACHABLE
        when the write did not take effect, UNKNOWN_RESULT when it may have.
        After a lost answer CONFLICT says that another write stands now; it
        may have followed this one.
        """
        token = f'{self.rng.getrandbits(const.TOKEN_BITS):032x}'
        path = _object_path(kind, name)
        body = msgspec.json.encode(WriteBody(value=value, token=token))

        async def send(_doubtful: bool) -> Version:
            response = await self._async_send('PUT', path, if_version, body)
            if response.status == http.STATUS_CONFLICT:
                present = self._decode(response, path)
                return self._own_version(present, token, path)
            try:
                reply = msgspec.json.decode(response.body, type=WriteReply)
            except DECODE_ERRORS as error:
                raise self._bad_answer(path, error) from error
            return reply.version

        async def read_back() -> Version | None:
            present = await self._async_present(path)
            if present is None and if_version == 0:
                return None
            if present is not None and present.version == if_version:
                return None
            return self._own_version(present, token, path)

        return await self._async_write(path, send, read_back)

    async def async_delete(
        self,
        kind: str,
        name: str,
        if_version: Version,
    ) -> None:
        """Delete an object if it still has a version.

        Raises BitternturnError as `async_put` does, and NOT_FOUND.
        """
        path = _object_path(kind, name)

        async def send(doubtful: bool) -> Version:
            response = await self._async_send('DELETE', path, if_version, b'')
            if response.status == http.STATUS_CONFLICT:
                raise self.transport.error(ErrorCode.CONFLICT, path)
            if response.status == http.STATUS_NOT_FOUND and not doubtful:
                raise self.transport.error(ErrorCode.NOT_FOUND, path)
            return if_version

        async def read_back() -> Version | None:
            present = await self._async_present(path)
            if present is None:
                return if_version
            if present.version == if_version:
                return None
            raise self.transport.error(ErrorCode.CONFLICT, path)

        await self._async_write(path, send, read_back)

    async def watch(
        self,
        kind: str,
        from_version: Version,
    ) -> AsyncGenerator[StoredObject, None]:
        """Yield each write of a kind after a version.

        Raises BitternturnError WATCH_GONE when the version is too old, and
        PLATFORM_BUSY or PLATFORM_UNREACHABLE when the watch can't be opened,
        ends, or has gone silent.
        """
        path = f'{const.PATH_WATCH}/{kind}?from={from_version}'
        silent_s = self.heartbeat_s * const.SILENT_HEARTBEATS
        lines = watch_lines(self.transport, path, silent_s=silent_s)
        async with contextlib.aclosing(lines):
            async for line in lines:
                yield self._decode_line(line, path)

    async def async_read(self, path: str) -> Answer:
        """Make a read, repeated after failures with back-off."""
        for attempt in range(1, self.attempts):
            try:
                return await self.transport.async_call('GET', path)
            except BitternturnError:
                await asyncio.sleep(self.pause_s(attempt))
        try:
            return await self.transport.async_call('GET', path)
        except BitternturnError as error:
            raise read_failure(error) from error

    async def _async_write(
        self,
        path: str,
        send: Callable[[bool], Awaitable[Version]],
        read_back: Callable[[], Awaitable[Version | None]],
    ) -> Version:
        """Repeat a conditional write until its result is known."""
        doubtful = False
        for attempt in range(1, self.attempts + 1):
            try:
                return await send(doubtful)
            except BitternturnError as error:
                if error.code not in REPEATED:
                    raise
                failure = error
            doubtful = doubtful or failure.code is ErrorCode.UNKNOWN_RESULT
            found = await self._async_look(read_back) if doubtful else None
            if found is not None:
                return found
            if attempt < self.attempts:
                await asyncio.sleep(self.pause_s(attempt))
        if doubtful:
            raise self.transport.error(ErrorCode.UNKNOWN_RESULT, path)
        raise failure

    async def _async_look(
        self,
        read_back: Callable[[], Awaitable[Version | None]],
    ) -> Version | None:
        """Return the version that a doubtful write gave, if it is known."""
        try:
            return await read_back()
        except BitternturnError as error:
            if error.code not in REPEATED:
                raise
            return None

    async def _async_send(
        self,
        method: str,
        path: str,
        if_version: Version,
        body: bytes,
    ) -> Answer:
        """Make one conditional write; raises for statuses of refusal."""
        response = await self.transport.async_call(
            method,
            path,
            headers={const.HEADER_IF_VERSION: str(if_version)},
            body=body,
        )
        if response.status == http.STATUS_TOO_LARGE:
            raise self.transport.error(ErrorCode.BODY_TOO_LARGE, path)
        if response.status == http.STATUS_BAD_REQUEST:
            raise self.transport.error(ErrorCode.BAD_REQUEST, path)
        return response

    async def _async_present(self, path: str) -> StoredObject | None:
        """Read an object once."""
        response = await self.transport.async_call('GET', path)
        if response.status == http.STATUS_NOT_FOUND:
            return None
        return self._decode(response, path)

    def _own_version(
        self,
        present: StoredObject | None,
        token: str,
        path: str,
    ) -> Version:
        """Return the version of the client's own write; raises CONFLICT."""
        if present is not None and present.token == token:
            return present.version
        raise self.transport.error(ErrorCode.CONFLICT, path)

    def _decode(self, response: Answer, path: str) -> StoredObject:
        """Return the object in a response; raises BAD_ANSWER."""
        return self._decode_line(response.body, path)

    def _decode_line(self, line: bytes, path: str) -> StoredObject:
        """Return the object in a line of JSON; raises BAD_ANSWER."""
        try:
            return decode_object(line)
        except DECODE_ERRORS as error:
            raise self._bad_answer(path, error) from error

    def _bad_answer(self, path: str, error: Exception) -> BitternturnError:
        """Return the error for an answer that can't be decoded."""
        return self.transport.error(ErrorCode.BAD_ANSWER, path, str(error))


def _object_path(kind: str, name: str) -> str:
    """Return the path of one object."""
    return f'{const.PATH_OBJECTS}/{kind}/{name}'
