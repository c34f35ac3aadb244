"""Splits JSON that no decoder accepts as a whole into its parts.

Guards against one value that makes a whole message unreadable. The parts are
not validated: each is to be decoded by itself. The functions are generators
that yield at points where the caller may let other tasks run, so that the time
for which a message blocks the event loop does not depend on its content.
"""

import re
from collections.abc import Generator
from typing import Final, TypeVar

Result = TypeVar('Result')
# Generator that yields at pauses and returns a result.
Paused = Generator[None, None, Result]

# Tokens between two pauses: 1 to 2 ms.
TOKENS_PER_PAUSE: Final = 4096

# Strings and anything else up to the next brackets, as far as one pause allows.
# Possessive quantifiers keep the search linear.
_BRACKETS: Final = re.compile(
    rb'(?:[^"\[\]{}]++|"(?:[^"\\]++|\\.)*+"){0,%d}+([\[{]++|[\]}]++)?+'
    % TOKENS_PER_PAUSE,
    re.DOTALL,
)
_SPACE: Final = re.compile(rb'\s*+')
_KEY: Final = re.compile(rb'\s*+"((?:[^"\\]++|\\.)*+)"\s*+:\s*+', re.DOTALL)
_SCALAR: Final = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[^\s,"\[\]{}]++', re.DOTALL)


class ScanError(ValueError):
    """Brackets or quotes of a JSON text don't match."""

    def __init__(self, position: int) -> None:
        """Initialise with where the text can't be split."""
        super().__init__(f'no JSON value (byte {position})')
        self.position = position


def find_end(body: bytes, start: int) -> Paused[int]:
    """Return the position after the value at a position; raises ScanError."""
    if body[start : start + 1] not in {b'[', b'{'}:
        return _find_scalar_end(body, start)
    depth = 0
    position = start
    count = 0
    while True:
        brackets = _BRACKETS.match(body, position)
        if brackets is None or brackets.end() == position:
            raise ScanError(start)
        position = brackets.end()
        if brackets.group(1) is None:
            yield
            continue
        first = brackets.start(1)
        length = position - first
        if body[first] in b'[{':
            depth += length
        elif length < depth:
            depth -= length
        else:
            return first + depth
        count += 1
        if count % TOKENS_PER_PAUSE == 0:
            yield


def _find_scalar_end(body: bytes, start: int) -> int:
    """Return the position after a string, number or word."""
    scalar = _SCALAR.match(body, start)
    if scalar is None:
        raise ScanError(start)
    return scalar.end()


def _find_element_end(body: bytes, start: int) -> Paused[tuple[int, int]]:
    """Return the end of an element and the position of what separates it."""
    end = yield from find_end(body, start)
    following = _skip_space(body, end)
    if body[following : following + 1] not in {b',', b']'}:
        raise ScanError(following)
    return end, following


def split_elements(
    body: bytes, start: int, resume: re.Pattern[bytes], max_resumes: int
) -> Paused[tuple[list[bytes], int]]:
    """Return the elements of the array at a position and its end.

    After an element whose end can't be found, goes on at the next match of
    `resume`, at most `max_resumes` times. Raises ScanError.
    """
    elements: list[bytes] = []
    resumes = 0
    position = _skip_space(body, start + 1)
    while body[position : position + 1] != b']':
        try:
            end, following = yield from _find_element_end(body, position)
        except ScanError:
            found = resume.search(body, position + 1)
            if found is None or resumes == max_resumes:
                raise
            resumes += 1
            end = following = found.start()
        elements.append(body[position:end])
        if len(elements) % TOKENS_PER_PAUSE == 0:
            yield
        position = following
        if body[position : position + 1] == b',':
            position = _skip_space(body, position + 1)
    return elements, position + 1


def split_members(
    body: bytes, keep: frozenset[str]
) -> Paused[dict[str, bytes]]:
    """Return the values of some members of the object that is the body.

    Raises ScanError.
    """
    members: dict[str, bytes] = {}
    position = _skip_space(body, 0)
    if body[position : position + 1] != b'{':
        raise ScanError(position)
    count = 0
    following = b','
    while following == b',':
        key = _KEY.match(body, position + 1)
        if key is None:
            raise ScanError(position)
        end = yield from find_end(body, key.end())
        name = key.group(1).decode(errors='replace')
        if name in keep:
            members[name] = body[key.end() : end]
        position = _skip_space(body, end)
        following = body[position : position + 1]
        count += 1
        if count % TOKENS_PER_PAUSE == 0:
            yield
    return members


def _skip_space(body: bytes, position: int) -> int:
    """Return the position of the next byte that is no white space."""
    space = _SPACE.match(body, position)
    return space.end() if space else position
