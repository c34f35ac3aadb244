"""Client of the administration API."""

import asyncio
from collections.abc import Mapping
from typing import Any, Final
from urllib.parse import quote, urlencode

import msgspec
from google.protobuf import json_format

from bitternturn.administration.const import HEADER_IF_VERSION
from bitternturn.administration.models import StatusReport
from bitternturn.cli import const
from bitternturn.configuration.models import (
    CONTENT_TYPES,
    ConfigurationKind,
    Content,
    wrap_content,
)
from bitternturn.core.decoding import DECODE_ERRORS
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.http.client import async_connect
from bitternturn.http.const import STATUS_OK
from bitternturn.http.models import Response
from bitternturn.schema.config_pb2 import (
    ConfigurationObject,
    Indexes,
    Profiles,
    Switches,
)

STEP_CALL: Final = 'call operators'
NO_ARGUMENTS: Final[Mapping[str, str]] = {}


class RemoteError(BitternturnError):
    """Raised when an instance answers a call with an error."""

    def __init__(self, *, peer: str, answer: Mapping[str, Any]) -> None:
        """Initialise the error from the members of the error body."""
        super().__init__(
            str(answer.get('message', '')),
            code=_parse_code(str(answer.get('code', ''))),
            step=str(answer.get('step', STEP_CALL)),
            peer=str(answer.get('peer') or peer),
        )
        self.answer = answer


class OperatorClient:
    """Calls the operators listener of one instance."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        timeout_s: float = const.DEFAULT_CALL_TIMEOUT_S,
    ) -> None:
        """Initialise the client; each call opens its own connection."""
        self.host = host
        self.port = port
        self.peer = f'{host}:{port}'
        self.timeout_s = timeout_s

    async def async_call(
        self,
        method: str,
        path: str,
        *,
        arguments: Mapping[str, str] = NO_ARGUMENTS,
        content: Any = None,
        if_version: Version | None = None,
    ) -> Any:
        """Call the API and return the decoded response body.

        Raises RemoteError, or BitternturnError CONNECTION_LOST or BAD_ANSWER.
        """
        headers = {'connection': 'close'}
        if if_version is not None:
            headers[HEADER_IF_VERSION] = str(if_version)
        body = b'' if content is None else msgspec.json.encode(content)
        given = {name: text for name, text in arguments.items() if text}
        target = f'{path}?{urlencode(given)}' if given else path
        return self._decode(
            await self._async_request(method, target, headers, body),
        )

    async def async_metrics(self) -> str:
        """Return the instance's metrics in the Prometheus text format."""
        headers = {'connection': 'close'}
        response = await self._async_request('GET', '/metrics', headers, b'')
        if response.status != STATUS_OK:
            self._decode(response)
        return response.body.decode(errors='replace')

    async def async_configuration(
        self,
        kind: ConfigurationKind,
    ) -> ConfigurationObject:
        """Return the configuration in force at the instance."""
        answer = await self.async_call('GET', configuration_path(kind))
        return configuration_from_json(kind, answer)

    async def async_profiles(self) -> tuple[Profiles, Version]:
        """Return the profiles and their version."""
        accepted = await self.async_configuration(ConfigurationKind.PROFILES)
        return accepted.profiles, Version(accepted.version)

    async def async_indexes(self) -> tuple[Indexes, Version]:
        """Return the indexes and their version."""
        accepted = await self.async_configuration(ConfigurationKind.INDEXES)
        return accepted.indexes, Version(accepted.version)

    async def async_switches(self) -> Switches:
        """Return the switches."""
        accepted = await self.async_configuration(ConfigurationKind.SWITCHES)
        return accepted.switches

    async def async_status(self) -> StatusReport:
        """Return the status report of the instance."""
        answer = await self.async_call('GET', '/v1/status')
        try:
            return msgspec.convert(answer, type=StatusReport)
        except msgspec.ValidationError as error:
            raise self._decode_error(error) from error

    async def _async_request(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> Response:
        """Make one call; raises BitternturnError CONNECTION_LOST on timeout."""
        try:
            async with asyncio.timeout(self.timeout_s):
                return await self._async_exchange(
                    method,
                    target,
                    headers,
                    body,
                )
        except TimeoutError as error:
            raise BitternturnError(
                f'no answer within {self.timeout_s:g} s',
                code=ErrorCode.CONNECTION_LOST,
                step=STEP_CALL,
                peer=self.peer,
            ) from error

    async def _async_exchange(
        self,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> Response:
        """Make one call on a new connection."""
        connection = await async_connect(host=self.host, port=self.port)
        try:
            return await connection.async_exchange(
                method=method,
                path=target,
                headers=headers,
                body=body,
            )
        finally:
            connection.close()

    def _decode(self, response: Response) -> Any:
        """Decode a response body; raises RemoteError for an error status."""
        try:
            answer = msgspec.json.decode(response.body)
        except DECODE_ERRORS as error:
            raise self._decode_error(error) from error
        if response.status == STATUS_OK:
            return answer
        raise RemoteError(peer=self.peer, answer=answer)

    def _decode_error(self, error: Exception) -> BitternturnError:
        """Return the error for a response that can't be decoded."""
        return BitternturnError(
            str(error),
            code=ErrorCode.BAD_ANSWER,
            step=STEP_CALL,
            peer=self.peer,
        )


def configuration_path(kind: ConfigurationKind) -> str:
    """Return the API path of a kind of configuration."""
    return f'/v1/configuration/{kind.value}'


def switch_path(plural: str, name: str, verb: str) -> str:
    """Return the API path that switches a domain or target."""
    return f'/v1/{plural}/{quote(name, safe="")}/{verb}'


def configuration_from_json(
    kind: ConfigurationKind, answer: Any
) -> ConfigurationObject:
    """Return a configuration from its JSON form."""
    content: Content = CONTENT_TYPES[kind]()
    # An instance of a later release may send additional fields.
    json_format.ParseDict(
        answer['content'],
        content,
        ignore_unknown_fields=True,
    )
    return wrap_content(content, Version(answer['version']))


def _parse_code(text: str) -> ErrorCode:
    """Return the error code for a string; INTERNAL if it is unknown."""
    try:
        return ErrorCode(text)
    except ValueError:
        return ErrorCode.INTERNAL
