"""Routes to read, write and roll back configurations."""

from typing import Any, Final

from bitternturn.administration.codec import (
    accepted_to_json,
)
from bitternturn.administration.const import (
    HEADER_IF_VERSION,
    STATUS_UNPROCESSABLE,
)
from bitternturn.administration.models import AdministrationDependencies
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
from bitternturn.http.models import Response, make_json_response

STEP_READ: Final = 'read call'
CONFIGURATION_PATH: Final = '/v1/configuration/{kind}'
UNKNOWN_KIND: Final = 'unknown kind of configuration'
STORE_UNREACHABLE: Final = 'object API not reachable; nothing was written'
WRITE_RESULT_UNKNOWN: Final = 'may have been written; read the configuration'
CONFLICT: Final = 'version conflict; the body has `mine` and `theirs`'


def configuration_routes(
    dependencies: AdministrationDependencies,
) -> list[Route]:
    """Return the routes of the configuration API."""
    return [
        Route(
            method='GET',
            path=CONFIGURATION_PATH,
            summary='Return the content and version in force at this instance.',
            handler=_create_get(dependencies),
            error_responses={http.STATUS_NOT_FOUND: UNKNOWN_KIND},
        ),
        Route(
            method='PUT',
            path=CONFIGURATION_PATH,
            summary='Replace the content if the version still matches.',
            handler=_create_put(dependencies),
            body='{"content": protobuf JSON of the kind}',
            required_headers=(HEADER_IF_VERSION,),
            error_responses={
                **_write_error_descriptions(),
                STATUS_UNPROCESSABLE: 'invalid content; the body has `errors`',
            },
        ),
        Route(
            method='GET',
            path=f'{CONFIGURATION_PATH}/history',
            summary='List the versions in the history, newest first.',
            handler=_create_history(dependencies),
            error_responses={http.STATUS_NOT_FOUND: UNKNOWN_KIND},
        ),
        Route(
            method='GET',
            path=f'{CONFIGURATION_PATH}/history/{{version}}',
            summary='Return the content of a version in the history.',
            handler=_create_get_version(dependencies),
            error_responses={
                http.STATUS_NOT_FOUND: 'version not in the history'
            },
        ),
        Route(
            method='POST',
            path=f'{CONFIGURATION_PATH}/rollback',
            summary='Restore an earlier version as a new version.',
            handler=_create_rollback(dependencies),
            body='{"version": number}',
            headers=(HEADER_IF_VERSION,),
            error_responses=_write_error_descriptions(),
        ),
    ]


def _write_error_descriptions() -> dict[int, str]:
    """Return the error statuses of write calls with descriptions."""
    return {
        http.STATUS_BAD_REQUEST: 'invalid body or header',
        http.STATUS_NOT_FOUND: UNKNOWN_KIND,
        http.STATUS_CONFLICT: CONFLICT,
        http.STATUS_UNAVAILABLE: STORE_UNREACHABLE,
        http.STATUS_GATEWAY_TIMEOUT: WRITE_RESULT_UNKNOWN,
    }


def _create_get(dependencies: AdministrationDependencies) -> CallHandler:
    """Return the handler that reads the configuration in force."""

    async def async_get(call: Call) -> Response:
        """Return content and version; version 0 if none is in force."""
        kind = _parse_kind(call)
        accepted = dependencies.state.objects.get(kind)
        if accepted is None:
            accepted = wrap_content(CONTENT_TYPES[kind](), Version(0))
        return make_json_response(accepted_to_json(accepted))

    return async_get


def _create_put(dependencies: AdministrationDependencies) -> CallHandler:
    """Return the handler that writes a new version."""

    async def async_put(call: Call) -> Response:
        """Validate and write the content in the body."""
        kind = _parse_kind(call)
        if_version = _parse_if_version(call)
        if if_version is None:
            raise bad_request(f'header {HEADER_IF_VERSION} is required')
        body = read_body(call)
        if 'content' not in body:
            raise bad_request('body must have the member "content"')
        version = await dependencies.store.async_accept(
            kind=kind,
            content=parse_content(kind, body['content']),
            if_version=if_version,
        )
        return make_json_response({'version': version})

    return async_put


def _create_history(dependencies: AdministrationDependencies) -> CallHandler:
    """Return the handler that lists the history."""

    async def async_history(call: Call) -> Response:
        """Return the history entries, newest first."""
        entries = await dependencies.store.async_list_history(_parse_kind(call))
        versions = [
            {
                'version': entry.version,
                'accepted_ms': entry.accepted_ms,
                'instance_id': entry.instance_id,
            }
            for entry in entries
        ]
        return make_json_response({'versions': versions})

    return async_history


def _create_get_version(
    dependencies: AdministrationDependencies,
) -> CallHandler:
    """Return the handler that reads a version from the history."""

    async def async_get_version(call: Call) -> Response:
        """Return the content of the version in the path."""
        version = Version(
            parse_number(call.path_parameters['version'], 'version')
        )
        accepted = await dependencies.store.history.async_content(
            _parse_kind(call), version
        )
        return make_json_response(accepted_to_json(accepted))

    return async_get_version


def _create_rollback(dependencies: AdministrationDependencies) -> CallHandler:
    """Return the handler that rolls back to an earlier version."""

    async def async_rollback(call: Call) -> Response:
        """Restore the version that the body names."""
        to_version = parse_number(read_body(call).get('version'), 'version')
        version = await dependencies.store.async_rollback(
            kind=_parse_kind(call),
            to_version=Version(to_version),
            if_version=_parse_if_version(call),
        )
        return make_json_response({'version': version})

    return async_rollback


def read_body(call: Call) -> dict[str, Any]:
    """Decode the JSON object in the body.

    Raises BitternturnError BAD_REQUEST.
    """
    body = call.request.json() if call.request.body else {}
    if not isinstance(body, dict):
        raise bad_request('body must be a JSON object')
    return body


def bad_request(message: str) -> BitternturnError:
    """Return the error for an invalid request."""
    return BitternturnError(
        message,
        code=ErrorCode.BAD_REQUEST,
        step=STEP_READ,
    )


def _parse_kind(call: Call) -> ConfigurationKind:
    """Return the configuration kind in the path.

    Raises BitternturnError NOT_FOUND.
    """
    try:
        return ConfigurationKind(call.path_parameters['kind'])
    except ValueError as error:
        kinds = ', '.join(kind.value for kind in ConfigurationKind)
        raise BitternturnError(
            f'kind must be one of {kinds}',
            code=ErrorCode.NOT_FOUND,
            step=STEP_READ,
        ) from error


def _parse_if_version(call: Call) -> Version | None:
    """Return the version in the if-version header, if present."""
    text = call.request.headers.get(HEADER_IF_VERSION)
    if text is None:
        return None
    return Version(parse_number(text, HEADER_IF_VERSION))


def parse_number(raw: Any, name: str, *, maximum: int = UINT64_MAX) -> int:
    """Parse an unsigned integer; raises BitternturnError BAD_REQUEST."""
    text = str(raw)
    digits = text.isascii() and text.isdigit()
    # The length is checked first: int() is slow on very long strings.
    if digits and len(text) <= len(str(maximum)) and int(text) <= maximum:
        return int(text)
    raise bad_request(f'{name} must be a number from 0 to {maximum}')
