"""Fast construction of h11 request headers."""

from collections.abc import Iterable
from functools import lru_cache
from typing import Final

import h11
from h11._headers import Headers

NAME_CACHE_SIZE: Final = 256
_NAME_PUNCTUATION: Final = frozenset('-_')


def encode_headers(pairs: Iterable[tuple[str, str]]) -> Headers:
    """Return validated headers; h11's own validation is several times slower.

    Raises h11.LocalProtocolError for an invalid name or value, which prevents
    header injection and request smuggling.
    """
    encoded = []
    for name, value in pairs:
        if not (value.isascii() and value.isprintable()):
            raise h11.LocalProtocolError(f'illegal value of {name}')
        raw_name = _encode_name(name)
        encoded.append((raw_name, raw_name, value.strip().encode('ascii')))
    return Headers(encoded)


def raw_headers(pairs: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return headers without validation, for pairs that are known to be valid.

    h11 has parsed them, or they are built from valid names and values.
    """
    return Headers([(name, name, value) for name, value in pairs])


@lru_cache(maxsize=NAME_CACHE_SIZE)
def _encode_name(name: str) -> bytes:
    """Return a header name in lower case; raises LocalProtocolError."""
    legal = name.isascii() and all(
        letter.isalnum() or letter in _NAME_PUNCTUATION for letter in name
    )
    if not (name and legal):
        raise h11.LocalProtocolError(f'illegal header name {name!r}')
    return name.lower().encode('ascii')
