"""Refusals and errors of an emulated target."""

from bitternturn.core.errors import ErrorCode
from bitternturn.http import const as http
from bitternturn.http.models import Response, make_json_response
from bitternturn.schema import config_pb2
from bitternturn.standins.target_records import RunState


class Refusal(Exception):
    """Raised to answer a request with an error status."""

    def __init__(
        self,
        *,
        status: int,
        code: ErrorCode,
        state: RunState = RunState.REFUSED,
    ) -> None:
        """Initialise; `state` is recorded for the request."""
        super().__init__(code.value)
        self.status = status
        self.code = code
        self.state = state

    def response(self, target: config_pb2.Target) -> Response:
        """Return the response; with code `cold` it states the cold limit."""
        headers = {}
        if self.code is ErrorCode.COLD:
            headers['x-cold-limit'] = str(target.cold_limit)
        return make_json_response(
            {'code': self.code.value},
            status=self.status,
            headers=headers,
        )


def shed_refusal() -> Refusal:
    """Return the refusal of a target whose slots and queue are full."""
    return Refusal(status=http.STATUS_TOO_MANY_REQUESTS, code=ErrorCode.SHED)


def cold_refusal() -> Refusal:
    """Return the refusal of a target that is over its cold limit."""
    return Refusal(status=http.STATUS_UNAVAILABLE, code=ErrorCode.COLD)


def draining_refusal() -> Refusal:
    """Return the refusal of a draining target."""
    return Refusal(status=http.STATUS_UNAVAILABLE, code=ErrorCode.DRAINING)


def deadline_refusal() -> Refusal:
    """Return the refusal of a request that would miss its deadline."""
    return Refusal(status=http.STATUS_GATEWAY_TIMEOUT, code=ErrorCode.DEADLINE)


def snapshot_gone_refusal() -> Refusal:
    """Return the refusal for a snapshot that the target does not hold."""
    return Refusal(status=http.STATUS_CONFLICT, code=ErrorCode.SNAPSHOT_GONE)


def bad_request_refusal() -> Refusal:
    """Return the refusal for a shard that the target does not hold."""
    return Refusal(status=http.STATUS_BAD_REQUEST, code=ErrorCode.BAD_REQUEST)


def target_error_refusal() -> Refusal:
    """Return an error that does not tell whether the request ran."""
    return Refusal(
        status=http.STATUS_INTERNAL,
        code=ErrorCode.TARGET_ERROR,
        state=RunState.FAILED,
    )
