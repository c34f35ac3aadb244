"""Seeded bad inputs: sound ones with parts changed, and odd values."""

import json
import random
from collections.abc import Callable
from typing import Any

ODD_VALUES: tuple[Any, ...] = (
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
ODD_TEXTS = (
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
RAW_LEAST, RAW_MOST = 1, 200


def spoil_bytes(rng: random.Random, sound: bytes) -> bytes:
    """Return bytes with one to four changes: cut, flipped, doubled, added."""
    spoiled = bytearray(sound)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(spoiled) + 1)
        kind = rng.randrange(5)
        if kind == 0:
            del spoiled[at:]
        elif kind == 1 and at < len(spoiled):
            spoiled[at] ^= 1 << rng.randrange(8)
        elif kind == 2:
            spoiled[at:at] = spoiled[at : at + rng.randint(1, 30)]
        elif kind == 3:
            spoiled[at:at] = rng.randbytes(rng.randint(1, 8))
        else:
            del spoiled[at : at + rng.randint(1, 10)]
    return bytes(spoiled)


def spoil_json(rng: random.Random, sound: Any) -> bytes:
    """Return JSON with one value replaced, or deep, or spoiled bytes."""
    kind = rng.randrange(8)
    if kind == 0:
        depth = rng.choice((50, 2000, 100_000))
        opening = rng.choice((b'[', b'{"query":'))
        return opening * depth
    if kind == 1:
        return rng.randbytes(rng.randint(RAW_LEAST, RAW_MOST))
    if kind < 4:
        return spoil_bytes(rng, json.dumps(sound).encode())
    changed = _replace(rng, sound)
    return json.dumps(changed).encode('utf-8', 'surrogatepass')


def either(rng: random.Random, sound: Any) -> bytes:
    """Return sound JSON half the time: what is read later needs it."""
    if rng.random() < 0.5:
        return json.dumps(sound).encode()
    return spoil_json(rng, sound)


def some(rng: random.Random, headers: dict[str, str]) -> dict[str, str]:
    """Return some of the headers: one may hide the faults of another."""
    return {name: text for name, text in headers.items() if rng.random() < 0.6}


def spoil_text(rng: random.Random, sound: str) -> str:
    """Return an odd text, or a sound one with changes, in Latin-1."""
    if rng.random() < 0.5:
        return rng.choice(ODD_TEXTS)
    return spoil_bytes(rng, sound.encode('latin-1')).decode('latin-1')


def http_text(text: str) -> bytes:
    """Return a text as a header's value would carry it."""
    return text.encode('latin-1', 'replace').replace(b'\n', b' ')


def make_toml_spoiler(sound: str) -> Callable[[random.Random], str]:
    """Return a function that makes bad settings out of sound ones."""
    lines = sound.splitlines()

    def spoil(rng: random.Random) -> str:
        """Return a text with some lines changed."""
        changed = list(lines)
        at = rng.randrange(len(changed))
        key = changed[at].partition('=')[0]
        odd = rng.choice(
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
        changed[at] = f'{key}= {odd}'
        text = '\n'.join(changed)
        if rng.random() < 0.5:
            return text
        return spoil_bytes(rng, text.encode()).decode('utf-8', 'replace')

    return spoil


def _replace(rng: random.Random, sound: Any) -> Any:
    """Return a value with one part of it replaced, somewhere."""
    if rng.random() < 0.3 or not isinstance(sound, dict | list) or not sound:
        return rng.choice(ODD_VALUES)
    if isinstance(sound, list):
        at = rng.randrange(len(sound))
        return [*sound[:at], _replace(rng, sound[at]), *sound[at + 1 :]]
    name = rng.choice(sorted(sound))
    return {**sound, name: _replace(rng, sound[name])}
