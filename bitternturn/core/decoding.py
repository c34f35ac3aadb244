"""Reading what others sent."""

from typing import Final

import msgspec

from bitternturn.core.const import UINT64_MAX

# JSON that is nested too deeply ends in a RecursionError.
DECODE_ERRORS: Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
)


def read_unsigned(text: str, *, largest: int = UINT64_MAX) -> int | None:
    """Return a number of ASCII digits, None for another text.

    A number above the largest one becomes the largest.
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip('0')
    # The length is tested first: int() refuses very long texts.
    if len(digits) > len(str(largest)):
        return largest
    return min(int(digits or '0'), largest)
