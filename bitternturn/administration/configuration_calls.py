"""Calls on configurations: read, accept, history, rollback."""

from typing import Any, Final

from bitternturn.administration.codec import (
    accepted_to_json,
)
from bitternturn.administration.const import (
    HEADER_IF_VERSION,
    STATUS_UNPROCESSABLE,
)
from bitternturn.administration.models import AdministrationPieces
from bitternturn.administration.routing import Call, CallHandler, Route
from bitternturn.configuration.check import parse_content
from bitternturn.configuration.models import (
    CONTENT_TYPES,
    ConfigurationKind,
    wrap_content,
)
from bitternturn.core.const import UINT64_MAX
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Version
from bitternturn.http import const as http
from bitternturn.http.models import Response, json_response

STEP_READ: Final = 'read call'
PATH: Final = '/v1/configuration/{kind}'
UNKNOWN_KIND: Final = 'no such kind'
STORE_DOWN: Final = 'object API not reached; nothing was accepted'
STORE_UNKNOWN: Final = 'may have been accepted; read the configuration'
CONFLICT: Final = 'another version stands; the body has mine and theirs'


def configuration_routes(pieces: AdministrationPieces) -> list[Route]:
    """Return the routes on configurations."""
    return [
        Route(
            method='GET',
            path=PATH,
            summary='Content and version in force at this instance.',
            handler=_create_get(pieces),
            answers={http.STATUS_NOT_FOUND: UNKNOWN_KIND},
        ),
        Route(
            method='PUT',
            path=PATH,
            summary='Accept a content that was made on a version.',
            handler=_create_put(pieces),
            body='{"content": protobuf JSON of the kind}',
            required_headers=(HEADER_IF_VERSION,),
            answers={
                **_write_answers(),
                STATUS_UNPROCESSABLE: 'refused whole; the body has `errors`',
            },
        ),
        Route(
            method='GET',
            path=f'{PATH}/history',
            summary='Accepted versions that are kept, newest first.',
            handler=_create_history(pieces),
            answers={http.STATUS_NOT_FOUND: UNKNOWN_KIND},
        ),
        Route(
            method='GET',
            path=f'{PATH}/history/{{version}}',
            summary='Content of a kept version.',
            handler=_create_kept(pieces),
            answers={http.STATUS_NOT_FOUND: 'not kept'},
        ),
        Route(
            method='POST',
            path=f'{PATH}/rollback',
            summary='Accept the content of a kept version as a new version.',
            handler=_create_rollback(pieces),
            body='{"version": number}',
            headers=(HEADER_IF_VERSION,),
            answers=_write_answers(),
        ),
    ]


def _write_answers() -> dict[int, str]:
    """Return the errors of calls that write."""
    return {
        http.STATUS_BAD_REQUEST: 'body or header is not as described',
        http.STATUS_NOT_FOUND: UNKNOWN_KIND,
        http.STATUS_CONFLICT: CONFLICT,
        http.STATUS_UNAVAILABLE: STORE_DOWN,
        http.STATUS_TIMEOUT: STORE_UNKNOWN,
    }


def _create_get(pieces: AdministrationPieces) -> CallHandler:
    """Return the handler that reads what is in force."""

    async def async_get(call: Call) -> Response:
        """Answer the content and version; version 0 for none."""
        kind = _kind(call)
        accepted = pieces.state.objects.get(kind)
        if accepted is None:
            accepted = wrap_content(CONTENT_TYPES[kind](), Version(0))
        return json_response(accepted_to_json(accepted))

    return async_get


def _create_put(pieces: AdministrationPieces) -> CallHandler:
    """Return the handler that accepts."""

    async def async_put(call: Call) -> Response:
        """Check and accept the content of the body."""
        kind = _kind(call)
        if_version = _if_version(call)
        if if_version is None:
            raise bad_request(f'header {HEADER_IF_VERSION} is required')
        body = read_body(call)
        if 'content' not in body:
            raise bad_request('body wants the member "content"')
        version = await pieces.store.async_accept(
            kind=kind,
            content=parse_content(kind, body['content']),
            if_version=if_version,
        )
        return json_response({'version': version})

    return async_put


def _create_history(pieces: AdministrationPieces) -> CallHandler:
    """Return the handler that lists kept versions."""

    async def async_history(call: Call) -> Response:
        """Answer the entries, newest first."""
        entries = await pieces.store.async_list_history(_kind(call))
        versions = [
            {
                'version': entry.version,
                'accepted_ms': entry.accepted_ms,
                'instance_id': entry.instance_id,
            }
            for entry in entries
        ]
        return json_response({'versions': versions})

    return async_history


def _create_kept(pieces: AdministrationPieces) -> CallHandler:
    """Return the handler that reads a kept version."""

    async def async_kept(call: Call) -> Response:
        """Answer the content of the version in the path."""
        version = Version(read_number(call.names['version'], 'version'))
        kept = await pieces.store.history.async_content(_kind(call), version)
        return json_response(accepted_to_json(kept))

    return async_kept


def _create_rollback(pieces: AdministrationPieces) -> CallHandler:
    """Return the handler that rolls back."""

    async def async_rollback(call: Call) -> Response:
        """Accept the version in the body anew."""
        to_version = read_number(read_body(call).get('version'), 'version')
        version = await pieces.store.async_rollback(
            kind=_kind(call),
            to_version=Version(to_version),
            if_version=_if_version(call),
        )
        return json_response({'version': version})

    return async_rollback


def read_body(call: Call) -> dict[str, Any]:
    """Return the members of the body; raises BitternturnError BAD_REQUEST."""
    body = call.request.json() if call.request.body else {}
    if not isinstance(body, dict):
        raise bad_request('body must be a JSON object')
    return body


def bad_request(message: str) -> BitternturnError:
    """Return the error for a call that is not as described."""
    return BitternturnError(
        message,
        code=ErrorCode.BAD_REQUEST,
        step=STEP_READ,
    )


def _kind(call: Call) -> ConfigurationKind:
    """Return the kind in the path; raises BitternturnError NOT_FOUND."""
    try:
        return ConfigurationKind(call.names['kind'])
    except ValueError as error:
        kinds = ', '.join(kind.value for kind in ConfigurationKind)
        raise BitternturnError(
            f'kind must be one of {kinds}',
            code=ErrorCode.NOT_FOUND,
            step=STEP_READ,
        ) from error


def _if_version(call: Call) -> Version | None:
    """Return the version in the header, if there is one."""
    text = call.request.headers.get(HEADER_IF_VERSION)
    if text is None:
        return None
    return Version(read_number(text, HEADER_IF_VERSION))


def read_number(given: Any, name: str, *, largest: int = UINT64_MAX) -> int:
    """Return an unsigned number; raises BitternturnError BAD_REQUEST."""
    text = str(given)
    digits = text.isascii() and text.isdigit()
    # The length is tested first: int() takes long for very long texts.
    if digits and len(text) <= len(str(largest)) and int(text) <= largest:
        return int(text)
    raise bad_request(f'{name} must be a number from 0 to {largest}')
