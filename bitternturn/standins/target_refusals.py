"""Refusals of a target stand-in."""

from bitternturn.core.errors import ErrorCode
from bitternturn.http import const as http
from bitternturn.http.models import Response, make_json_response
from bitternturn.schema import config_pb2
from bitternturn.standins.target_records import RunState


class Refusal(Exception):
    """An answer other than 200."""

    def __init__(
        self,
        *,
        status: int,
        code: ErrorCode,
        state: RunState = RunState.REFUSED,
    ) -> None:
        """Hold the status, the code and whether work was begun."""
        super().__init__(code.value)
        self.status = status
        self.code = code
        self.state = state

    def response(self, target: config_pb2.Target) -> Response:
        """Return the answer; a cold one states the limit."""
        headers = {}
        if self.code is ErrorCode.COLD:
            headers['x-cold-limit'] = str(target.cold_limit)
        return make_json_response(
            {'code': self.code.value},
            status=self.status,
            headers=headers,
        )


def shed() -> Refusal:
    """Return the refusal of a target over its slots."""
    return Refusal(status=http.STATUS_TOO_MANY_REQUESTS, code=ErrorCode.SHED)


def cold() -> Refusal:
    """Return the refusal of a cold target over what it bears."""
    return Refusal(status=http.STATUS_UNAVAILABLE, code=ErrorCode.COLD)


def draining() -> Refusal:
    """Return the refusal of a draining target."""
    return Refusal(status=http.STATUS_UNAVAILABLE, code=ErrorCode.DRAINING)


def deadline() -> Refusal:
    """Return the refusal of work that would end too late."""
    return Refusal(status=http.STATUS_GATEWAY_TIMEOUT, code=ErrorCode.DEADLINE)


def snapshot_gone() -> Refusal:
    """Return the refusal of a snapshot that is not held."""
    return Refusal(status=http.STATUS_CONFLICT, code=ErrorCode.SNAPSHOT_GONE)


def bad_request() -> Refusal:
    """Return the refusal of a shard that is not held."""
    return Refusal(status=http.STATUS_BAD_REQUEST, code=ErrorCode.BAD_REQUEST)


def target_error() -> Refusal:
    """Return a failure that leaves open whether the work was done."""
    return Refusal(
        status=http.STATUS_INTERNAL,
        code=ErrorCode.TARGET_ERROR,
        state=RunState.FAILED,
    )
