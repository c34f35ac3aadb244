"""Exit codes, defaults and hints of the command line."""

from collections.abc import Mapping
from typing import Final

from bitternturn.core.errors import ErrorCode

PROGRAM: Final = 'bitternturn'
ENV_OPERATORS: Final = 'BITTERNTURN_OPERATORS'
DEFAULT_OPERATORS: Final = '127.0.0.1:8002'
DEFAULT_CALL_TIMEOUT_S: Final = 10.0
DEFAULT_WATCH_INTERVAL_S: Final = 2.0

EXIT_OK: Final = 0
EXIT_UNEXPECTED: Final = 1
EXIT_USAGE: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_INVALID: Final = 4
EXIT_UNREACHABLE: Final = 5
EXIT_NOT_FOUND: Final = 6

EXIT_OF_CODE: Final[Mapping[ErrorCode, int]] = {
    ErrorCode.BAD_REQUEST: EXIT_USAGE,
    ErrorCode.INVALID_SETTINGS: EXIT_USAGE,
    ErrorCode.CONFLICT: EXIT_CONFLICT,
    ErrorCode.INVALID_CONFIGURATION: EXIT_INVALID,
    ErrorCode.CONNECTION_LOST: EXIT_UNREACHABLE,
    ErrorCode.PEER_UNREACHABLE: EXIT_UNREACHABLE,
    ErrorCode.PLATFORM_UNREACHABLE: EXIT_UNREACHABLE,
    ErrorCode.PLATFORM_BUSY: EXIT_UNREACHABLE,
    ErrorCode.UNKNOWN_RESULT: EXIT_UNREACHABLE,
    ErrorCode.NOT_FOUND: EXIT_NOT_FOUND,
}

HINT_OF_CODE: Final[Mapping[ErrorCode, str]] = {
    ErrorCode.BAD_REQUEST: 'see `bitternturn COMMAND --help`',
    ErrorCode.INVALID_SETTINGS: 'fix the settings file and start again',
    ErrorCode.CONFLICT: (
        'get the current version, merge your edit into it, and retry'
    ),
    ErrorCode.INVALID_CONFIGURATION: 'fix the values listed and retry',
    ErrorCode.CONNECTION_LOST: (
        'check --operators, or call another instance of the tier'
    ),
    ErrorCode.PEER_UNREACHABLE: 'call another instance of the tier',
    ErrorCode.PLATFORM_UNREACHABLE: (
        'nothing was changed; retry when the object API is reachable'
    ),
    ErrorCode.PLATFORM_BUSY: 'nothing was changed; retry later',
    ErrorCode.UNKNOWN_RESULT: (
        'it may have been accepted; check the configuration and retry'
    ),
    ErrorCode.NOT_FOUND: 'check the name with the `list` action of the command',
    ErrorCode.INTERNAL: 'see the log of the instance',
}
