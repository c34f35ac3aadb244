"""Request handler of the operators listener."""

from bitternturn.administration.configuration_calls import (
    configuration_routes,
)
from bitternturn.administration.models import AdministrationPieces
from bitternturn.administration.openapi import describe_routes
from bitternturn.administration.operation_calls import operation_routes
from bitternturn.administration.routing import Call, Route, create_router
from bitternturn.http.models import Response, json_response
from bitternturn.http.server import Handler


def create_handler(*, pieces: AdministrationPieces) -> Handler:
    """Return the handler of the API in docs/INTERFACES.md, "Operators"."""
    return create_router(create_routes(pieces))


def create_routes(dependencies: AdministrationPieces) -> list[Route]:
    """Return all routes, including the OpenAPI document."""
    routes = [
        *configuration_routes(dependencies),
        *operation_routes(dependencies),
    ]

    async def async_describe(call: Call) -> Response:
        """Return the OpenAPI document."""
        return json_response(describe_routes(routes))

    routes.append(
        Route(
            method='GET',
            path='/openapi.json',
            summary='Return this OpenAPI document.',
            handler=async_describe,
        ),
    )
    return routes
