"""Constants of the administration API."""

from typing import Final

STATUS_UNPROCESSABLE: Final = 422

HEADER_IF_VERSION: Final = 'if-version'
HEADER_ALLOW: Final = 'allow'

API_TITLE: Final = 'bitternturn administration'
API_VERSION: Final = '1'
OPENAPI_VERSION: Final = '3.1.0'

MAX_REASON_LENGTH: Final = 500

# Stored values have up to 1 MiB; their JSON form is a few times larger.
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
