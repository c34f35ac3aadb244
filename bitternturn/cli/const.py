"""Exit codes, flags and hints of the command line."""

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
    ErrorCode.INVALID_SETTINGS: 'mend the settings file and start again',
    ErrorCode.CONFLICT: (
        'read the version that stands, merge your edit into it, and repeat'
    ),
    ErrorCode.INVALID_CONFIGURATION: 'mend the values listed and repeat',
    ErrorCode.CONNECTION_LOST: (
        'check --operators, or ask another instance of the tier'
    ),
    ErrorCode.PEER_UNREACHABLE: 'ask another instance of the tier',
    ErrorCode.PLATFORM_UNREACHABLE: (
        'nothing was changed; repeat when the object API is back'
    ),
    ErrorCode.PLATFORM_BUSY: 'nothing was changed; repeat in a moment',
    ErrorCode.UNKNOWN_RESULT: (
        'it may have been accepted: read the configuration before repeating'
    ),
    ErrorCode.NOT_FOUND: 'check the name with the `list` of the command',
    ErrorCode.INTERNAL: 'see the log of the instance',
}
