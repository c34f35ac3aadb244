"""Reads JSON documents from files or standard input."""

import sys
from pathlib import Path
from typing import Any, Final

import msgspec

from bitternturn.cli.models import usage_error
from bitternturn.core.decoding import DECODE_ERRORS

STANDARD_INPUT: Final = '-'


def read_document(name: str) -> Any:
    """Return the decoded JSON of a file; `-` reads standard input."""
    try:
        text = _read(name)
    except OSError as error:
        raise usage_error(f'{name}: {error.strerror}') from error
    try:
        return msgspec.json.decode(text)
    except DECODE_ERRORS as error:
        raise usage_error(f'{name}: {error}') from error


def _read(name: str) -> bytes:
    """Return the bytes of a file or of standard input."""
    if name == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    return Path(name).read_bytes()
