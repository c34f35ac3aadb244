"""Identity of a request that callers repeat with other request ids."""

import hashlib
from collections.abc import Iterable
from typing import Final

from bitternturn.core.ids import RequestKey
from bitternturn.gateway.models import CallerRequest

# Headers that tell callers apart. Others may change with each attempt.
CALLER_HEADERS: Final = frozenset((b'host', b'authorization', b'cookie'))
KEY_BYTES: Final = 16
LENGTH_BYTES: Final = 8


def identify_request(caller: CallerRequest) -> RequestKey:
    """Return the key of a request, which all of its attempts share.

    The caller is part of it, so that no caller affects requests of another.
    """
    if caller.key is None:
        caller.key = _compute_key(caller)
    return caller.key


def fingerprint_request(caller: CallerRequest) -> int:
    """Return a short hash of the same fields, cheap but valid here only."""
    if caller.fingerprint is None:
        caller.fingerprint = hash(
            (
                caller.method,
                caller.request_target,
                caller.body,
                *_caller_headers(caller),
            )
        )
    return caller.fingerprint


def _caller_headers(caller: CallerRequest) -> list[tuple[bytes, bytes]]:
    """Return the headers that tell callers apart, in a fixed order."""
    return sorted(
        header for header in caller.headers if header[0] in CALLER_HEADERS
    )


def _compute_key(caller: CallerRequest) -> RequestKey:
    """Return the digest of method, request target, caller and body."""
    return _digest(
        (
            caller.method.encode(),
            caller.request_target.encode(),
            caller.body,
            *(field for header in _caller_headers(caller) for field in header),
        )
    )


def _digest(fields: Iterable[bytes]) -> RequestKey:
    """Return the digest of fields, each preceded by its length."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(LENGTH_BYTES))
        digest.update(field)
    return RequestKey(digest.hexdigest())
