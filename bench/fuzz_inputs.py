"""Seeded generators of invalid input, mostly made by corrupting valid input."""

import json
import random
from collections.abc import Callable
from typing import Any

INVALID_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    1e308,
    1 << 70,
    '',
    'x' * 300,
    '\0',
    '\ud800',
    'ä\r\nx: y',
    [],
    [[]],
    {},
    {'': None},
)
INVALID_TEXTS = (
    '',
    '0',
    '-1',
    '1e9',
    '9' * 5000,
    'nan',
    '\u00b2',
    '\u00ff' * 40,
    '1,' * 200,
    ',',
    'x' * 20_000,
)
# What an endless message starts with, and what it repeats: lines of a head,
# body bytes, chunks, chunk extensions, trailers and requests sent ahead.
_HEAD = b'POST /v1/query/x HTTP/1.1\r\nhost: x\r\n'
_CHUNKED_HEAD = _HEAD + b'transfer-encoding: chunked\r\n\r\n'
ENDLESS_MESSAGES = (
    (_HEAD, b'x-more: and more\r\n'),
    (b'GET /', b'x' * 64),
    (_HEAD + b'x: y', b'\r\n z'),
    (_HEAD + b'content-length: 99999999\r\n\r\n', b'x' * 1024),
    (_CHUNKED_HEAD, b'1\r\nx\r\n'),
    (_CHUNKED_HEAD, b'400\r\n%b\r\n' % (b'x' * 1024)),
    (_CHUNKED_HEAD, b'1;%b\r\nx\r\n' % (b'y' * 1024)),
    (_CHUNKED_HEAD + b'1', b';y'),
    (_CHUNKED_HEAD + b'0\r\n', b'x-more: and more\r\n'),
    (b'', _HEAD + b'content-length: 0\r\n\r\n'),
    (b'', b'\r\n'),
)
MIN_RANDOM_BYTES, MAX_RANDOM_BYTES = 1, 200


def corrupt_bytes(rng: random.Random, valid: bytes) -> bytes:
    """Return bytes with one to four random cuts, flips, repeats or inserts."""
    corrupted = bytearray(valid)
    for _ in range(rng.randint(1, 4)):
        index = rng.randrange(len(corrupted) + 1)
        kind = rng.randrange(5)
        if kind == 0:
            del corrupted[index:]
        elif kind == 1 and index < len(corrupted):
            corrupted[index] ^= 1 << rng.randrange(8)
        elif kind == 2:
            corrupted[index:index] = corrupted[
                index : index + rng.randint(1, 30)
            ]
        elif kind == 3:
            corrupted[index:index] = rng.randbytes(rng.randint(1, 8))
        else:
            del corrupted[index : index + rng.randint(1, 10)]
    return bytes(corrupted)


def cut_message(rng: random.Random, valid: bytes) -> bytes:
    """Return a message without its end, perhaps corrupted before it.

    Often only the last bytes are missing: the receiver then holds the rest.
    """
    if rng.random() < 0.3:
        valid = corrupt_bytes(rng, valid)
    missing = rng.choice((1, 2, 10, rng.randint(1, max(1, len(valid)))))
    return valid[: max(0, len(valid) - missing)]


def corrupt_json(rng: random.Random, valid: Any) -> bytes:
    """Return JSON with a replaced value or deep nesting, or corrupted bytes."""
    kind = rng.randrange(8)
    if kind == 0:
        depth = rng.choice((50, 2000, 100_000))
        opening = rng.choice((b'[', b'{"query":'))
        return opening * depth
    if kind == 1:
        return rng.randbytes(rng.randint(MIN_RANDOM_BYTES, MAX_RANDOM_BYTES))
    if kind < 4:
        return corrupt_bytes(rng, json.dumps(valid).encode())
    changed = _replace_part(rng, valid)
    return json.dumps(changed).encode('utf-8', 'surrogatepass')


def maybe_corrupt_json(rng: random.Random, valid: Any) -> bytes:
    """Return valid JSON half of the time.

    Only input whose body is valid reaches the checks behind the JSON parser.
    """
    if rng.random() < 0.5:
        return json.dumps(valid).encode()
    return corrupt_json(rng, valid)


def sample_headers(
    rng: random.Random, headers: dict[str, str]
) -> dict[str, str]:
    """Return a random subset of the headers.

    An invalid header can prevent others from being parsed, so that their
    faults would not show.
    """
    return {name: text for name, text in headers.items() if rng.random() < 0.6}


def corrupt_text(rng: random.Random, valid: str) -> str:
    """Return an invalid text, or a valid one corrupted as Latin-1 bytes."""
    if rng.random() < 0.5:
        return rng.choice(INVALID_TEXTS)
    return corrupt_bytes(rng, valid.encode('latin-1')).decode('latin-1')


def encode_header_value(text: str) -> bytes:
    """Return a text encoded as the value of an HTTP header."""
    return text.encode('latin-1', 'replace').replace(b'\n', b' ')


def make_toml_corrupter(valid: str) -> Callable[[random.Random], str]:
    """Return a function that corrupts valid TOML settings."""
    lines = valid.splitlines()

    def corrupt(rng: random.Random) -> str:
        """Return the settings with an invalid value, perhaps corrupted too."""
        changed = list(lines)
        index = rng.randrange(len(changed))
        key = changed[index].partition('=')[0]
        invalid = rng.choice(
            (
                '9' * 5000,
                'nan',
                '-inf',
                '1 ' * 3,
                '[' * rng.choice((10, 5000)),
                '1979-05-27T07:32:00Z',
                '"\\u0000"',
                '{ a.b = 1, a = 2 }',
                '[[1], {}]',
                '0x' + 'f' * 400,
                "'''",
                'true',
            )
        )
        changed[index] = f'{key}= {invalid}'
        text = '\n'.join(changed)
        if rng.random() < 0.5:
            return text
        return corrupt_bytes(rng, text.encode()).decode('utf-8', 'replace')

    return corrupt


def _replace_part(rng: random.Random, valid: Any) -> Any:
    """Return a value with one randomly chosen part replaced."""
    if rng.random() < 0.3 or not isinstance(valid, dict | list) or not valid:
        return rng.choice(INVALID_VALUES)
    if isinstance(valid, list):
        index = rng.randrange(len(valid))
        return [
            *valid[:index],
            _replace_part(rng, valid[index]),
            *valid[index + 1 :],
        ]
    name = rng.choice(sorted(valid))
    return {**valid, name: _replace_part(rng, valid[name])}
