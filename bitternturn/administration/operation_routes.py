"""Routes for switches, status, timeline, metrics and health."""

from typing import Final

from bitternturn.administration import const
from bitternturn.administration.configuration_routes import (
    CONFLICT,
    STORE_UNREACHABLE,
    WRITE_RESULT_UNKNOWN,
    bad_request,
    parse_number,
    read_body,
)
from bitternturn.administration.models import AdministrationDependencies
from bitternturn.administration.routing import Call, CallHandler, Route
from bitternturn.configuration.models import ConfigurationKind
from bitternturn.configuration.switches import (
    SwitchEdit,
    SwitchScope,
    switches_of,
)
from bitternturn.core.const import UINT32_MAX
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.metrics import CONTENT_TYPE
from bitternturn.http import const as http
from bitternturn.http.models import Response, make_json_response
from bitternturn.schema.peers_pb2 import TimelineRequest
from bitternturn.timeline.const import DEFAULT_EVENT_LIMIT
from bitternturn.timeline.render import event_to_json

STEP_SWITCH: Final = 'switch'
SCOPES: Final = {
    'domains': SwitchScope.FAILURE_DOMAIN,
    'targets': SwitchScope.TARGET,
}


def operation_routes(dependencies: AdministrationDependencies) -> list[Route]:
    """Return the routes for operating the tier."""
    return [
        *_switch_routes(dependencies),
        Route(
            method='GET',
            path='/v1/status',
            summary='Report view, versions, targets and profiles.',
            handler=_create_status(dependencies),
        ),
        Route(
            method='GET',
            path='/v1/timeline',
            summary='Return the merged events of all instances.',
            handler=_create_timeline(dependencies),
            query_parameters=('since', 'request', 'target', 'limit'),
            error_responses={
                http.STATUS_BAD_REQUEST: 'argument is not a number'
            },
        ),
        Route(
            method='GET',
            path='/metrics',
            summary='Return metrics in the Prometheus text format.',
            handler=_create_metrics(dependencies),
            content_type='text/plain',
        ),
        Route(
            method='GET',
            path='/healthz',
            summary='Return 200 while the event loop runs.',
            handler=_async_health,
        ),
    ]


def _switch_routes(dependencies: AdministrationDependencies) -> list[Route]:
    """Return the routes that switch failure domains and targets."""
    return [
        Route(
            method='POST',
            path=f'/v1/{plural}/{{name}}/{verb}',
            summary=f'Take one of the {plural} {verb} of service.'
            if verb == 'out'
            else f'Bring one of the {plural} back into service.',
            handler=_create_switch(dependencies, scope, out=verb == 'out'),
            body='{"reason": text}',
            error_responses={
                http.STATUS_NOT_FOUND: 'unknown name',
                http.STATUS_CONFLICT: CONFLICT,
                http.STATUS_UNAVAILABLE: STORE_UNREACHABLE,
                http.STATUS_GATEWAY_TIMEOUT: WRITE_RESULT_UNKNOWN,
            },
        )
        for plural, scope in SCOPES.items()
        for verb in ('out', 'in')
    ]


def _create_switch(
    dependencies: AdministrationDependencies,
    scope: SwitchScope,
    *,
    out: bool,
) -> CallHandler:
    """Return the handler that switches a domain or target out or in."""

    async def async_switch(call: Call) -> Response:
        """Switch the failure domain or target in the path."""
        reason = read_body(call).get('reason', '')
        if not isinstance(reason, str):
            raise bad_request('"reason" must be a string')
        name = call.path_parameters['name']
        _check_known_name(dependencies, scope, name)
        version = await dependencies.store.async_switch(
            SwitchEdit(
                scope=scope,
                name=name,
                out=out,
                reason=reason[: const.MAX_REASON_LENGTH],
            ),
        )
        return make_json_response({'version': version})

    return async_switch


def _check_known_name(
    dependencies: AdministrationDependencies,
    scope: SwitchScope,
    name: str,
) -> None:
    """Reject an unknown name; a switch for a misspelt one has no effect.

    Raises BitternturnError NOT_FOUND.
    """
    known = _known_names(dependencies, scope)
    if known and name not in known:
        raise BitternturnError(
            f'unknown name "{name}"; known: {", ".join(sorted(known))}',
            code=ErrorCode.NOT_FOUND,
            step=STEP_SWITCH,
        )


def _known_names(
    dependencies: AdministrationDependencies, scope: SwitchScope
) -> set[str]:
    """Return the names that can be switched.

    The set is empty, and names aren't checked, while no indexes are in force.
    """
    if ConfigurationKind.INDEXES not in dependencies.state.objects:
        return set()
    targets = dependencies.state.targets()
    if scope is SwitchScope.TARGET:
        known = {target.id for target in targets}
    else:
        known = {target.failure_domain for target in targets}
        members = dependencies.status().members
        known.update(member.failure_domain for member in members)
    accepted = dependencies.state.objects.get(ConfigurationKind.SWITCHES)
    if accepted is not None:
        listed = switches_of(accepted.switches, scope)
        known.update(switch.name for switch in listed)
    return known


def _create_status(dependencies: AdministrationDependencies) -> CallHandler:
    """Return the handler that reports the status."""

    async def async_status(call: Call) -> Response:
        """Return the status report of this instance."""
        return make_json_response(dependencies.status())

    return async_status


def _create_timeline(dependencies: AdministrationDependencies) -> CallHandler:
    """Return the handler that reads the timeline."""

    async def async_timeline(call: Call) -> Response:
        """Return the events that match the query arguments."""
        request = call.request
        limit = request.query_parameter('limit', str(DEFAULT_EVENT_LIMIT))
        events = await dependencies.timeline(
            TimelineRequest(
                since=parse_number(
                    request.query_parameter('since', '0'), 'since'
                ),
                request_id=request.query_parameter('request'),
                target=request.query_parameter('target'),
                limit=parse_number(limit, 'limit', maximum=UINT32_MAX),
            ),
        )
        listed = [event_to_json(event) for event in events]
        return make_json_response({'events': listed})

    return async_timeline


def _create_metrics(dependencies: AdministrationDependencies) -> CallHandler:
    """Return the handler that serves the metrics."""

    async def async_metrics(call: Call) -> Response:
        """Return the metrics in the Prometheus text format."""
        return Response(
            headers={'content-type': CONTENT_TYPE},
            body=dependencies.metrics(),
        )

    return async_metrics


async def _async_health(call: Call) -> Response:
    """Report that the event loop runs."""
    return make_json_response({'healthy': True})
