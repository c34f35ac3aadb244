"""Log lines that explain one request, from logs of several instances."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from bitternturn.core.decoding import DECODE_ERRORS

# Kinds of lines about single requests; all others report changes of state.
REQUEST_KINDS: Final = frozenset(
    ('request', 'refused', 'send_lost', 'gathered')
)
# Kinds of lines about the life of an instance.
LIFE_KINDS: Final = frozenset(('start', 'leaving', 'stop', 'paused'))
# Kinds of lines about requests that crash targets, named by their key.
SUSPICION_KINDS: Final = frozenset(('request_suspected', 'request_cleared'))
# Fields that are not repeated among the other fields of a rendered line.
LEADING_FIELDS: Final = frozenset(('time', 'instance', 'kind', 'request_id'))


@dataclass(kw_only=True, frozen=True, slots=True)
class LogLine:
    """One line of a decision log."""

    time: float
    instance: str
    kind: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse lines of decision logs and skip all others.

    Text before the first brace, such as a log collector's timestamp, is
    ignored.
    """
    for text in texts:
        start = text.find('{')
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:].encode())
        except DECODE_ERRORS:
            continue
        if isinstance(fields, dict) and LEADING_FIELDS - {'request_id'} <= set(
            fields
        ):
            yield LogLine(
                time=float(fields['time']),
                instance=str(fields['instance']),
                kind=str(fields['kind']),
                fields=fields,
            )


def find_request_lines(
    lines: Iterable[LogLine],
    request_id: str,
    *,
    lookback_s: float,
) -> list[LogLine]:
    """Return the lines of a request and the state changes that may matter.

    Those are changes from a given time before the request until its last line,
    at the instances that handled it or of targets that it was sent to, and all
    earlier evidence that the request crashes targets.
    """
    sorted_lines = sorted(lines, key=_time)
    request_lines = [
        line
        for line in sorted_lines
        if line.fields.get('request_id') == request_id
    ]
    if not request_lines:
        return []
    instances = {line.instance for line in request_lines}
    targets = {
        sent['target']
        for line in request_lines
        for sent in line.fields.get('sends', ())
    }
    keys = {line.fields.get('request_key') for line in request_lines} - {None}
    begin_time = (
        request_lines[0].time - _duration_s(request_lines[0]) - lookback_s
    )
    return [
        line
        for line in sorted_lines
        if line in request_lines
        or (line.time <= request_lines[-1].time and _is_evidence(line, keys))
        or (
            line.kind not in REQUEST_KINDS
            and begin_time <= line.time <= request_lines[-1].time
            and _is_relevant(line, instances, targets)
        )
    ]


def describe_coverage(lines: Iterable[LogLine]) -> list[str]:
    """Return the instances and times that some lines cover."""
    times: dict[str, list[float]] = {}
    for line in lines:
        times.setdefault(line.instance, []).append(line.time)
    return [
        f'{instance}: {len(found)} lines from {min(found):.3f} to '
        f'{max(found):.3f}'
        for instance, found in sorted(times.items())
    ]


def find_life_changes(
    lines: Iterable[LogLine], at: float, *, around_s: float
) -> list[LogLine]:
    """Return when instances started, stopped or paused around a time."""
    return sorted(
        (
            line
            for line in lines
            if line.kind in LIFE_KINDS and abs(line.time - at) <= around_s
        ),
        key=_time,
    )


def render_line(line: LogLine, since: float) -> str:
    """Return a line in readable form, with its time relative to `since`."""
    fields = ' '.join(
        f'{name}={_format_value(content)}'
        for name, content in line.fields.items()
        if name not in LEADING_FIELDS and name != 'sends'
    )
    head = f'{line.time - since:+8.3f} s  {line.instance}  {line.kind}'
    sends = [
        f'              sent to {sent["target"]} of {sent["service"]} '
        f'via {sent.get("via", "unknown path")} at {sent["at_ms"]} ms: {sent["outcome"]} '
        f'after {sent["took_ms"]} ms'
        for sent in line.fields.get('sends', ())
    ]
    return '\n'.join([f'{head}  {fields}', *sends])


def _is_relevant(line: LogLine, instances: set[str], targets: set[str]) -> bool:
    """Return whether a state change may have affected a request."""
    target = line.fields.get('target')
    if target is not None:
        return target in targets
    return line.instance in instances


def _is_evidence(line: LogLine, keys: set[Any]) -> bool:
    """Return whether a line is evidence that a request crashes targets."""
    if line.kind == 'target_ended':
        return not keys.isdisjoint(line.fields.get('requests', ()))
    return line.kind in SUSPICION_KINDS and (
        line.fields.get('request_key') in keys
    )


def _duration_s(line: LogLine) -> float:
    """Return the latency of a request by its log line."""
    return float(line.fields.get('ms', 0)) / 1000


def _format_value(content: Any) -> str:
    """Return strings as they are and other values as JSON."""
    if isinstance(content, str):
        return content
    return msgspec.json.encode(content).decode()


def _time(line: LogLine) -> float:
    """Return the sort key of log lines."""
    return line.time
