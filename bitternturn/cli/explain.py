"""Command `explain`: shows what happened to a request, from saved logs."""

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from absl import flags

from bitternturn.cli.files import STANDARD_INPUT
from bitternturn.cli.models import Action, Command, Invocation, usage_error
from bitternturn.cli.output import print_json
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.gateway.request_log import (
    LogLine,
    describe_coverage,
    find_life_changes,
    find_request_lines,
    read_lines,
    render_line,
)

DEFAULT_LOOKBACK_S = 5.0


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the command."""
    flags.DEFINE_float(
        'around',
        DEFAULT_LOOKBACK_S,
        'seconds before the request from which state changes are shown',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_float(
        'at',
        None,
        'Unix time of a request that is in no log; shows which instances '
        'started, stopped or paused around it',
        flag_values=values,
    )
    flags.DEFINE_list(
        'logs',
        [STANDARD_INPUT],
        'log files of the instances; - reads standard input',
        flag_values=values,
    )


async def _async_explain(call: Invocation) -> None:
    """Print the log lines that concern one request."""
    request_id = call.arguments[0]
    lines = list(read_lines(read_log_lines(call.flags.logs)))
    request_lines = find_request_lines(
        lines,
        request_id,
        lookback_s=call.flags.around,
    )
    if not request_lines:
        raise BitternturnError(
            f'request {request_id} was not found in the logs',
            code=ErrorCode.NOT_FOUND,
            step='read logs',
            hint=_describe_logs(lines, call.flags.at, call.flags.around),
        )
    if call.json:
        print_json([line.fields for line in request_lines])
        return
    for line in request_lines:
        print(render_line(line, request_lines[-1].time))


def _describe_logs(
    lines: Sequence[LogLine], at: float | None, around_s: float
) -> str:
    """Return what the logs cover, and what happened around a time."""
    covered = describe_coverage(lines) or ['no line of a decision log']
    texts = [
        'an instance that was killed or cut off logs nothing; the logs cover',
        *covered,
    ]
    if at is None:
        return '\n  '.join((*texts, 'add --at TIME for what happened then'))
    changes = find_life_changes(lines, at, around_s=around_s)
    texts.append(f'instances that started, stopped or paused around {at:.3f}')
    texts.extend(render_line(line, at) for line in changes)
    return '\n  '.join(texts if changes else (*texts, 'none'))


def read_log_lines(names: Sequence[str]) -> Iterator[str]:
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


COMMAND = Command(
    name='explain',
    summary='Show what happened to a request, from saved logs.',
    example='bitternturn explain 9c41d07be2a35f68 --logs a.log,b.log',
    actions={'': Action(run=_async_explain, arguments=('REQUEST',))},
    define_flags=define_flags,
)
