"""Builds the OpenAPI document from the routes."""

import re
from collections.abc import Sequence
from typing import Any

from bitternturn.administration import const
from bitternturn.administration.routing import Route

PATH_PARAMETER = re.compile(r'\{(\w+)\}')


def describe_routes(routes: Sequence[Route]) -> dict[str, Any]:
    """Return the OpenAPI document of all routes."""
    paths: dict[str, dict[str, Any]] = {}
    for route in routes:
        operations = paths.setdefault(route.path, {})
        operations[route.method.lower()] = _describe(route)
    return {
        'openapi': const.OPENAPI_VERSION,
        'info': {'title': const.API_TITLE, 'version': const.API_VERSION},
        'paths': paths,
        'components': {'schemas': {'Error': _error_schema()}},
    }


def _describe(route: Route) -> dict[str, Any]:
    """Return the operation object of a route."""
    operation: dict[str, Any] = {
        'summary': route.summary,
        'parameters': _parameters(route),
        'responses': {
            '200': {
                'description': 'done',
                'content': {route.content_type: {}},
            },
            **{
                str(status): _error_response(text)
                for status, text in route.error_responses.items()
            },
        },
    }
    if route.body:
        operation['requestBody'] = {
            'required': True,
            'description': route.body,
            'content': {'application/json': {'schema': {'type': 'object'}}},
        }
    return operation


def _parameters(route: Route) -> list[dict[str, Any]]:
    """Return the path, query and header parameters of a route."""
    path_names = PATH_PARAMETER.findall(route.path)
    return [
        *(_parameter(name, 'path', required=True) for name in path_names),
        *(_parameter(name, 'query') for name in route.query_parameters),
        *(_parameter(name, 'header') for name in route.headers),
        *(
            _parameter(name, 'header', required=True)
            for name in route.required_headers
        ),
    ]


def _parameter(
    name: str,
    location: str,
    *,
    required: bool = False,
) -> dict[str, Any]:
    """Return a parameter object."""
    return {
        'name': name,
        'in': location,
        'required': required,
        'schema': {'type': 'string'},
    }


def _error_response(text: str) -> dict[str, Any]:
    """Return the response object of an error status."""
    schema = {'$ref': '#/components/schemas/Error'}
    return {
        'description': text,
        'content': {'application/json': {'schema': schema}},
    }


def _error_schema() -> dict[str, Any]:
    """Return the schema of error bodies."""
    members = ('code', 'step', 'peer', 'message')
    return {
        'type': 'object',
        'required': list(members),
        'properties': {name: {'type': 'string'} for name in members},
    }
