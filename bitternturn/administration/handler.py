"""Request handler of the operators listener."""

from bitternturn.administration.configuration_routes import (
    configuration_routes,
)
from bitternturn.administration.models import AdministrationDependencies
from bitternturn.administration.openapi import describe_routes
from bitternturn.administration.operation_routes import operation_routes
from bitternturn.administration.routing import Call, Route, create_router
from bitternturn.http.models import Response, make_json_response
from bitternturn.http.server import Handler


def create_handler(*, dependencies: AdministrationDependencies) -> Handler:
    """Return the handler of the API in docs/INTERFACES.md, "Operators"."""
    return create_router(create_routes(dependencies))


def create_routes(dependencies: AdministrationDependencies) -> list[Route]:
    """Return all routes, including the OpenAPI document."""
    routes = [
        *configuration_routes(dependencies),
        *operation_routes(dependencies),
    ]

    async def async_describe(call: Call) -> Response:
        """Return the OpenAPI document."""
        return make_json_response(describe_routes(routes))

    routes.append(
        Route(
            method='GET',
            path='/openapi.json',
            summary='Return this OpenAPI document.',
            handler=async_describe,
        ),
    )
    return routes
