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


def _compute_key(caller: CallerRequest) -> RequestKey:
    """Return the digest of method, request target, caller and body."""
    return _digest(
        (
            caller.method.encode(),
            caller.request_target.encode(),
            caller.body,
            *(
                field
                for name, content in sorted(caller.headers)
                if name in CALLER_HEADERS
                for field in (name, content)
            ),
        )
    )


def _digest(fields: Iterable[bytes]) -> RequestKey:
    """Return the digest of fields, each preceded by its length."""
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(LENGTH_BYTES))
        digest.update(field)
    return RequestKey(digest.hexdigest())
