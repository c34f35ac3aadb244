"""Command `rollout`: shows roll-outs of versions, from saved logs."""

import sys
from collections.abc import Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, Final

from absl import flags

from bitternturn.cli.files import STANDARD_INPUT
from bitternturn.cli.models import Action, Command, Invocation, usage_error
from bitternturn.cli.output import print_json
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.gateway.request_log import (
    LogLine,
    describe_coverage,
    read_lines,
    render_line,
)

# Lines about the order of a service, in which the field `service` names it.
ORDER_KINDS: Final = frozenset(
    (
        'rollout',
        'rollout_phase',
        'rollout_written',
        'rollout_not_written',
        'rollout_removed',
    )
)
# Lines that give the phase of an order at an instance.
PHASE_KINDS: Final = frozenset(('rollout', 'rollout_phase', 'rollout_removed'))


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the command."""
    flags.DEFINE_list(
        'logs',
        [STANDARD_INPUT],
        'log files of the instances; - reads standard input',
        flag_values=values,
    )


async def _async_status(call: Invocation) -> None:
    """Print the last known state of each order."""
    states = summarize(_read_order_lines(call.flags.logs))
    if call.json:
        print_json(list(states))
        return
    for state in states:
        phases = ', '.join(
            f'{count} {phase}' for phase, count in state['phases'].items()
        )
        print(
            f'{state["service"]} to {state["version"]}: '
            f'{state["written"] or "nothing"} written; instances: {phases}'
        )


async def _async_explain(call: Invocation) -> None:
    """Print what happened to the orders of a service, with the evidence."""
    service = call.arguments[0]
    every = list(read_lines(_read_texts(call.flags.logs)))
    lines = sorted(_select(every, service), key=_time)
    if not lines:
        raise BitternturnError(
            f'no order for service {service} was found in the logs',
            code=ErrorCode.NOT_FOUND,
            step='read logs',
            hint='\n  '.join(describe_coverage(every)),
        )
    if call.json:
        print_json([line.fields for line in lines])
        return
    for line in lines:
        print(render_line(line, lines[0].time))


def summarize(lines: Iterable[LogLine]) -> Sequence[Mapping[str, Any]]:
    """Return the last version, phases and written status of each service."""
    states: dict[str, dict[str, Any]] = {}
    for line in sorted(lines, key=_time):
        service = line.fields['service']
        version = line.fields.get('version')
        state = states.get(service)
        if state is None or (
            line.kind == 'rollout' and version != state['version']
        ):
            state = {'service': service, 'version': version, 'written': ''}
            state['instances'] = {}
            states[service] = state
        if version != state['version']:
            continue
        if line.kind == 'rollout_written':
            state['written'] = line.fields.get('state', '')
        elif line.kind in PHASE_KINDS:
            removed = line.kind == 'rollout_removed'
            phase = 'removed' if removed else line.fields.get('phase', '')
            state['instances'][line.instance] = phase
    for state in states.values():
        phases = list(state['instances'].values())
        state['phases'] = {
            phase: phases.count(phase) for phase in sorted(set(phases))
        }
    return list(states.values())


def _read_order_lines(names: Sequence[str]) -> Iterator[LogLine]:
    """Yield the lines about orders in some files."""
    yield from _select(read_lines(_read_texts(names)), None)


def _select(lines: Iterable[LogLine], service: str | None) -> Iterator[LogLine]:
    """Yield the lines about the orders of a service, or of all."""
    for line in lines:
        named = line.fields.get('service')
        if line.kind in ORDER_KINDS and named and service in {None, named}:
            yield line


def _read_texts(names: Sequence[str]) -> Iterator[str]:
    """Yield the lines of all files; raises BitternturnError."""
    for name in names:
        if name == STANDARD_INPUT:
            yield from sys.stdin
            continue
        try:
            text = Path(name).read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            raise usage_error(f'{name}: {error.strerror}') from error
        yield from text.splitlines()


def _time(line: LogLine) -> float:
    """Return the sort key of log lines."""
    return line.time


COMMAND = Command(
    name='rollout',
    summary='Show roll-outs of versions, from saved logs.',
    example='bitternturn rollout explain search --logs a.log,b.log',
    actions={
        'status': Action(run=_async_status),
        'explain': Action(run=_async_explain, arguments=('SERVICE',)),
    },
    define_flags=define_flags,
)
