"""Dispatches requests by method and path template."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final
from urllib.parse import unquote

from bitternturn.administration.codec import make_error_response
from bitternturn.administration.const import HEADER_ALLOW
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.http.models import Request, Response
from bitternturn.http.server import Handler

STEP_ROUTE: Final = 'route'


@dataclass(kw_only=True, frozen=True, slots=True)
class Call:
    """A request and the values of the parameters in its path."""

    request: Request
    path_parameters: Mapping[str, str]


CallHandler = Callable[[Call], Awaitable[Response]]


@dataclass(kw_only=True, frozen=True, slots=True)
class Route:
    """One operation of the API.

    The fields after `handler` only describe it in the OpenAPI document.
    """

    method: str
    path: str
    summary: str
    handler: CallHandler
    body: str = ''
    query_parameters: tuple[str, ...] = ()
    headers: tuple[str, ...] = ()
    required_headers: tuple[str, ...] = ()
    error_responses: Mapping[int, str] = field(default_factory=dict)
    content_type: str = 'application/json'


def create_router(routes: Sequence[Route]) -> Handler:
    """Return a handler that dispatches requests to routes."""

    async def async_handle(request: Request) -> Response:
        """Dispatch a request and convert errors to responses."""
        try:
            return await _async_dispatch(routes, request)
        except BitternturnError as error:
            return make_error_response(error)

    return async_handle


async def _async_dispatch(
    routes: Sequence[Route], request: Request
) -> Response:
    """Dispatch a request; raises BitternturnError NOT_FOUND."""
    allowed: list[str] = []
    for route in routes:
        path_parameters = match_path(route.path, request.path)
        if path_parameters is None:
            continue
        if route.method == request.method:
            return await route.handler(
                Call(request=request, path_parameters=path_parameters)
            )
        allowed.append(route.method)
    if allowed:
        return _method_not_allowed(request, allowed)
    raise BitternturnError(
        f'unknown path: {request.path}',
        code=ErrorCode.NOT_FOUND,
        step=STEP_ROUTE,
    )


def match_path(template: str, path: str) -> dict[str, str] | None:
    """Return the path parameters; None if the path doesn't match."""
    template_segments = template.split('/')
    segments = path.split('/')
    if len(template_segments) != len(segments):
        return None
    path_parameters: dict[str, str] = {}
    for expected, segment in zip(template_segments, segments, strict=True):
        if expected.startswith('{'):
            if not segment:
                return None
            path_parameters[expected.strip('{}')] = unquote(segment)
        elif expected != segment:
            return None
    return path_parameters


def _method_not_allowed(request: Request, allowed: Sequence[str]) -> Response:
    """Return a 405 response that lists the allowed methods."""
    response = make_error_response(
        BitternturnError(
            f'{request.method} is not allowed on {request.path}',
            code=ErrorCode.METHOD_NOT_ALLOWED,
            step=STEP_ROUTE,
        ),
    )
    response.headers = {
        **response.headers,
        HEADER_ALLOW: ', '.join(sorted(allowed)),
    }
    return response
