"""Base exception and the codes of errors."""

from enum import Enum, unique


@unique
class ErrorCode(Enum):
    """Codes of refusals and failures, documented in docs/INTERFACES.md."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    REQUEST_TIMEOUT = 'request_timeout'
    NOT_FOUND = 'not_found'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    UNKNOWN_PROFILE = 'unknown_profile'
    UNKNOWN_INDEX = 'unknown_index'
    NOT_READY = 'not_ready'
    DRAINING = 'draining'
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline'
    COVERAGE = 'coverage'
    CANCELLED = 'cancelled'
    COLD = 'cold'
    SHED = 'shed'
    SNAPSHOT_GONE = 'snapshot_gone'
    TARGET_OUT = 'target_out'
    TARGET_UNAVAILABLE = 'target_unavailable'
    TARGET_ERROR = 'target_error'
    BAD_ANSWER = 'bad_answer'
    CONNECTION_LOST = 'connection_lost'
    NOT_OWNER = 'not_owner'
    PEER_UNREACHABLE = 'peer_unreachable'
    PEER_REFUSED = 'peer_refused'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    CLAIM_MISMATCH = 'claim_mismatch'
    IN_DOUBT = 'in_doubt'
    CONFLICT = 'conflict'
    INVALID_CONFIGURATION = 'invalid_configuration'
    INVALID_SETTINGS = 'invalid_settings'
    PLATFORM_UNREACHABLE = 'platform_unreachable'
    PLATFORM_BUSY = 'platform_busy'
    WATCH_GONE = 'watch_gone'
    UNKNOWN_RESULT = 'unknown_result'
    INTERNAL = 'internal'


class BitternturnError(Exception):
    """Base of all errors; has a code, the failed step and the peer."""

    def __init__(
        self,
        message: str = '',
        *,
        code: ErrorCode,
        step: str,
        peer: str = '',
        hint: str = '',
    ) -> None:
        """Initialise the error; the message defaults to the code.

        `hint` says what a user can do, in place of the hint of the code.
        """
        super().__init__(message or code.value)
        self.code = code
        self.step = step
        self.peer = peer
        self.message = message
        self.hint = hint

    def __str__(self) -> str:
        """Return the error formatted for a log line."""
        parts = [f'{self.code.value} at {self.step}']
        if self.peer:
            parts.append(f'peer {self.peer}')
        if self.message:
            parts.append(self.message)
        return ': '.join(parts)
