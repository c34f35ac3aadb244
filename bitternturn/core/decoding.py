"""Safe decoding of numbers and JSON from untrusted input."""

import math
import re
from typing import Any, Final

import msgspec

from bitternturn.core.const import UINT64_MAX

# Decoding JSON that is nested too deeply raises a RecursionError.
DECODE_ERRORS: Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
)


# Deeper values are left out of a document that can't be read as a whole.
MAX_DEPTH: Final = 64
# Longer integers are left out as well; no field has as many digits.
MAX_INTEGER_DIGITS: Final = 20

_TOKENS: Final = re.compile(
    rb'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]|-?\d[\d.eE+-]*', re.DOTALL
)


def decode_tolerantly(body: bytes, model: type[Any]) -> Any:
    """Decode JSON as `model`, with null for values that no decoder accepts.

    Guards against one entry of a list that makes the whole list unreadable.

    Raises the errors of `DECODE_ERRORS`.
    """
    try:
        return msgspec.json.decode(body, type=model)
    except (msgspec.ValidationError, RecursionError):
        return msgspec.json.decode(_leave_out_extremes(body), type=model)


def _leave_out_extremes(body: bytes) -> bytes:
    """Replace numbers out of range and values nested too deeply by null."""
    kept: list[bytes] = []
    depth = 0
    copied_to = 0
    for token in _TOKENS.finditer(body):
        first = token.group()[:1]
        if first in b'[{':
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.extend((body[copied_to : token.start()], b'null'))
        elif first in b']}':
            depth -= 1
            if depth == MAX_DEPTH:
                copied_to = token.end()
        elif depth <= MAX_DEPTH and _is_out_of_range(token.group()):
            kept.extend((body[copied_to : token.start()], b'null'))
            copied_to = token.end()
    return b''.join((*kept, body[copied_to:]))


def _is_out_of_range(token: bytes) -> bool:
    """Return whether a token is a number that no field can hold."""
    if token.startswith(b'"'):
        return False
    if token.removeprefix(b'-').isdigit():
        return len(token) > MAX_INTEGER_DIGITS
    try:
        return math.isinf(float(token))
    except ValueError:
        return False


def parse_decimal(text: str) -> float | None:
    """Return the number that ASCII digits with an optional fraction denote.

    Returns None for any other string, infinity for a number that is too large.
    """
    whole, _, fraction = text.partition('.')
    digits = whole + fraction
    if not (digits.isascii() and digits.isdigit()):
        return None
    return float(text)


def parse_unsigned(text: str, *, maximum: int = UINT64_MAX) -> int | None:
    """Return the unsigned integer that a string of ASCII digits denotes.

    Returns None for any other string. Numbers above `maximum` are clamped to
    it.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip('0')
    # The length is checked first: int() rejects very long strings.
    if len(digits) > len(str(maximum)):
        return maximum
    return min(int(digits or '0'), maximum)
