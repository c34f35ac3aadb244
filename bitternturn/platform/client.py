"""Client of the object API, with retries and conditional writes."""

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
    ApiResponse,
    ObjectList,
    StoredObject,
    TimedObject,
    WriteBody,
    WriteReply,
    decode_object,
)
from bitternturn.platform.transport import ObjectTransport, as_read_error
from bitternturn.platform.watch import watch_lines

# Failures after which a call may be retried.
RETRYABLE = frozenset(
    (
        ErrorCode.PLATFORM_BUSY,
        ErrorCode.PLATFORM_UNREACHABLE,
        ErrorCode.UNKNOWN_RESULT,
    ),
)


class ObjectClient:
    """Reads, writes and watches objects; retries calls where it is safe."""

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
        max_attempts: int = const.DEFAULT_MAX_ATTEMPTS,
    ) -> None:
        """Initialise; connections are opened on demand."""
        self.rng = rng
        self.heartbeat_s = heartbeat_s
        self.max_attempts = max_attempts
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
        self.backoff_s = make_backoff(
            base_s=const.DEFAULT_BACKOFF_S,
            cap_s=const.DEFAULT_BACKOFF_CAP_S,
            uniform=rng.uniform,
        )

    @property
    def reached_at(self) -> float | None:
        """Start time of the last successful call, on the client's clock."""
        return self.transport.reached_at

    @property
    def failed_at(self) -> float | None:
        """Time of the last failure, on the client's clock."""
        return self.transport.failed_at

    def close(self) -> None:
        """Close the idle connections."""
        self.transport.close()

    async def async_get(self, kind: str, name: str) -> StoredObject | None:
        """Return the current version of an object, or None.

        Raises BitternturnError PLATFORM_BUSY or PLATFORM_UNREACHABLE.
        """
        return (await self.async_get_timed(kind, name)).stored

    async def async_get_timed(self, kind: str, name: str) -> TimedObject:
        """Return an object as `async_get` does, with the start of this read.

        `reached_at` may belong to a later call and thus gives no upper bound
        for the age of the object.
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
        """Write an object if its version is `if_version`; 0 creates it.

        A write whose response was lost is recognised by its token. Raises
        BitternturnError CONFLICT, PLATFORM_BUSY or PLATFORM_UNREACHABLE
        when the write did not take effect, UNKNOWN_RESULT when it may have.
        After a lost response, CONFLICT means that the object now holds
        another write, which may have followed this one.
        """
        token = f'{self.rng.getrandbits(const.TOKEN_BITS):032x}'
        path = _object_path(kind, name)
        body = msgspec.json.encode(WriteBody(value=value, token=token))

        async def send(_in_doubt: bool) -> Version:
            response = await self._async_send_conditional(
                'PUT', path, if_version, body
            )
            if response.status == http.STATUS_CONFLICT:
                stored = self._decode(response, path)
                return self._version_of_own_write(stored, token, path)
            try:
                reply = msgspec.json.decode(response.body, type=WriteReply)
            except DECODE_ERRORS as error:
                raise self._bad_answer(path, error) from error
            return reply.version

        async def read_back() -> Version | None:
            stored = await self._async_read_once(path)
            if stored is None and if_version == 0:
                return None
            if stored is not None and stored.version == if_version:
                return None
            return self._version_of_own_write(stored, token, path)

        return await self._async_write(path, send, read_back)

    async def async_delete(
        self,
        kind: str,
        name: str,
        if_version: Version,
    ) -> None:
        """Delete an object if its version is `if_version`.

        Raises BitternturnError as `async_put` does, and NOT_FOUND.
        """
        path = _object_path(kind, name)

        async def send(in_doubt: bool) -> Version:
            response = await self._async_send_conditional(
                'DELETE', path, if_version, b''
            )
            if response.status == http.STATUS_CONFLICT:
                raise self.transport.make_error(ErrorCode.CONFLICT, path)
            if response.status == http.STATUS_NOT_FOUND and not in_doubt:
                raise self.transport.make_error(ErrorCode.NOT_FOUND, path)
            return if_version

        async def read_back() -> Version | None:
            stored = await self._async_read_once(path)
            if stored is None:
                return if_version
            if stored.version == if_version:
                return None
            raise self.transport.make_error(ErrorCode.CONFLICT, path)

        await self._async_write(path, send, read_back)

    async def watch(
        self,
        kind: str,
        from_version: Version,
    ) -> AsyncGenerator[StoredObject, None]:
        """Yield each write of a kind after a version.

        Raises BitternturnError WATCH_GONE when the version is too old, and
        PLATFORM_BUSY or PLATFORM_UNREACHABLE when the watch can't be opened,
        ends, or misses its heartbeats.
        """
        path = f'{const.PATH_WATCH}/{kind}?from={from_version}'
        silence_timeout_s = self.heartbeat_s * const.MAX_MISSED_HEARTBEATS
        lines = watch_lines(
            self.transport, path, silence_timeout_s=silence_timeout_s
        )
        async with contextlib.aclosing(lines):
            async for line in lines:
                yield self._decode_line(line, path)

    async def async_read(self, path: str) -> ApiResponse:
        """Make a read call; retry failures with backoff."""
        for attempt in range(1, self.max_attempts):
            try:
                return await self.transport.async_call('GET', path)
            except BitternturnError:
                await asyncio.sleep(self.backoff_s(attempt))
        try:
            return await self.transport.async_call('GET', path)
        except BitternturnError as error:
            raise as_read_error(error) from error

    async def _async_write(
        self,
        path: str,
        send: Callable[[bool], Awaitable[Version]],
        read_back: Callable[[], Awaitable[Version | None]],
    ) -> Version:
        """Retry a conditional write until its result is known.

        `send` is told whether an earlier attempt may have taken effect.
        """
        in_doubt = False
        for attempt in range(1, self.max_attempts + 1):
            try:
                return await send(in_doubt)
            except BitternturnError as error:
                if error.code not in RETRYABLE:
                    raise
                failure = error
            in_doubt = in_doubt or failure.code is ErrorCode.UNKNOWN_RESULT
            found = (
                await self._async_try_read_back(read_back) if in_doubt else None
            )
            if found is not None:
                return found
            if attempt < self.max_attempts:
                await asyncio.sleep(self.backoff_s(attempt))
        if in_doubt:
            raise self.transport.make_error(ErrorCode.UNKNOWN_RESULT, path)
        raise failure

    async def _async_try_read_back(
        self,
        read_back: Callable[[], Awaitable[Version | None]],
    ) -> Version | None:
        """Return the version of a write in doubt, or None if unknown."""
        try:
            return await read_back()
        except BitternturnError as error:
            if error.code not in RETRYABLE:
                raise
            return None

    async def _async_send_conditional(
        self,
        method: str,
        path: str,
        if_version: Version,
        body: bytes,
    ) -> ApiResponse:
        """Make one conditional write; raises for 400 and 413."""
        response = await self.transport.async_call(
            method,
            path,
            headers={const.HEADER_IF_VERSION: str(if_version)},
            body=body,
        )
        if response.status == http.STATUS_CONTENT_TOO_LARGE:
            raise self.transport.make_error(ErrorCode.BODY_TOO_LARGE, path)
        if response.status == http.STATUS_BAD_REQUEST:
            raise self.transport.make_error(ErrorCode.BAD_REQUEST, path)
        return response

    async def _async_read_once(self, path: str) -> StoredObject | None:
        """Read an object without retries."""
        response = await self.transport.async_call('GET', path)
        if response.status == http.STATUS_NOT_FOUND:
            return None
        return self._decode(response, path)

    def _version_of_own_write(
        self,
        stored: StoredObject | None,
        token: str,
        path: str,
    ) -> Version:
        """Return the version if the token is this write's; raises CONFLICT."""
        if stored is not None and stored.token == token:
            return stored.version
        raise self.transport.make_error(ErrorCode.CONFLICT, path)

    def _decode(self, response: ApiResponse, path: str) -> StoredObject:
        """Return the object in a response; raises BAD_ANSWER."""
        return self._decode_line(response.body, path)

    def _decode_line(self, line: bytes, path: str) -> StoredObject:
        """Return the object in a line of JSON; raises BAD_ANSWER."""
        try:
            return decode_object(line)
        except DECODE_ERRORS as error:
            raise self._bad_answer(path, error) from error

    def _bad_answer(self, path: str, error: Exception) -> BitternturnError:
        """Return the error for a response that can't be decoded."""
        return self.transport.make_error(ErrorCode.BAD_ANSWER, path, str(error))


def _object_path(kind: str, name: str) -> str:
    """Return the path of one object."""
    return f'{const.PATH_OBJECTS}/{kind}/{name}'
