"""Converts protobuf messages to JSON and errors to HTTP responses."""

from collections.abc import Mapping
from typing import Any, Final

from google.protobuf import json_format
from google.protobuf.message import Message

from bitternturn.administration.const import STATUS_UNPROCESSABLE
from bitternturn.configuration.models import (
    ConfigurationConflict,
    InvalidConfiguration,
    content_of,
)
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.http import const as http
from bitternturn.http.models import Response, make_json_response
from bitternturn.schema.config_pb2 import ConfigurationObject

STATUS_OF_CODE: Final[Mapping[ErrorCode, int]] = {
    ErrorCode.BAD_REQUEST: http.STATUS_BAD_REQUEST,
    ErrorCode.NOT_FOUND: http.STATUS_NOT_FOUND,
    ErrorCode.METHOD_NOT_ALLOWED: http.STATUS_METHOD_NOT_ALLOWED,
    ErrorCode.CONFLICT: http.STATUS_CONFLICT,
    ErrorCode.BODY_TOO_LARGE: http.STATUS_CONTENT_TOO_LARGE,
    ErrorCode.INVALID_CONFIGURATION: STATUS_UNPROCESSABLE,
    ErrorCode.BAD_ANSWER: http.STATUS_BAD_GATEWAY,
    ErrorCode.PLATFORM_UNREACHABLE: http.STATUS_UNAVAILABLE,
    ErrorCode.PLATFORM_BUSY: http.STATUS_UNAVAILABLE,
    ErrorCode.PEER_UNREACHABLE: http.STATUS_UNAVAILABLE,
    ErrorCode.UNKNOWN_RESULT: http.STATUS_GATEWAY_TIMEOUT,
}


def message_to_json(message: Message) -> Any:
    """Return a message as protobuf JSON.

    Field names are those of the schema; unset fields are included.
    """
    return json_format.MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )


def accepted_to_json(accepted: ConfigurationObject) -> dict[str, Any]:
    """Return an accepted configuration as a JSON object."""
    return {
        'version': accepted.version,
        'content': message_to_json(content_of(accepted)),
    }


def make_error_response(error: BitternturnError) -> Response:
    """Return the HTTP response for an error."""
    content: dict[str, Any] = {
        'code': error.code.value,
        'step': error.step,
        'peer': error.peer,
        'message': error.message,
    }
    if isinstance(error, ConfigurationConflict):
        content['mine'] = accepted_to_json(error.mine)
        content['theirs'] = accepted_to_json(error.theirs)
    if isinstance(error, InvalidConfiguration):
        content['errors'] = [
            {'path': problem.path, 'message': problem.message}
            for problem in error.problems
        ]
    status = STATUS_OF_CODE.get(error.code, http.STATUS_INTERNAL)
    return make_json_response(content, status=status)
