"""Dispatches requests by method and path template."""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final
from urllib.parse import unquote

from bitternturn.administration.codec import refuse
from bitternturn.administration.const import HEADER_ALLOW
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.http.models import Request, Response
from bitternturn.http.server import Handler

STEP_ROUTE: Final = 'route'


@dataclass(kw_only=True, frozen=True, slots=True)
class Call:
    """A request and the values of the parameters in its path."""

    request: Request
    names: Mapping[str, str]


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
    arguments: tuple[str, ...] = ()
    headers: tuple[str, ...] = ()
    required_headers: tuple[str, ...] = ()
    answers: Mapping[int, str] = field(default_factory=dict)
    content_type: str = 'application/json'


def create_router(routes: Sequence[Route]) -> Handler:
    """Return a handler that dispatches requests to routes."""

    async def async_handle(request: Request) -> Response:
        """Dispatch a request and convert errors to responses."""
        try:
            return await _async_call(routes, request)
        except BitternturnError as error:
            return refuse(error)

    return async_handle


async def _async_call(routes: Sequence[Route], request: Request) -> Response:
    """Dispatch a request; raises BitternturnError NOT_FOUND."""
    allowed: list[str] = []
    for route in routes:
        names = match_path(route.path, request.path)
        if names is None:
            continue
        if route.method == request.method:
            return await route.handler(Call(request=request, names=names))
        allowed.append(route.method)
    if allowed:
        return _refuse_method(request, allowed)
    raise BitternturnError(
        f'unknown path: {request.path}',
        code=ErrorCode.NOT_FOUND,
        step=STEP_ROUTE,
    )


def match_path(template: str, path: str) -> dict[str, str] | None:
    """Return the path parameters; None if the path doesn't match."""
    wanted = template.split('/')
    given = path.split('/')
    if len(wanted) != len(given):
        return None
    names: dict[str, str] = {}
    for want, part in zip(wanted, given, strict=True):
        if want.startswith('{'):
            if not part:
                return None
            names[want.strip('{}')] = unquote(part)
        elif want != part:
            return None
    return names


def _refuse_method(request: Request, allowed: Sequence[str]) -> Response:
    """Return a 405 response that lists the allowed methods."""
    response = refuse(
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
