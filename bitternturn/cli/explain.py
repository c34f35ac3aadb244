"""Command `explain`: tells what became of a request, from saved logs."""

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from absl import flags

from bitternturn.cli.files import STANDARD_INPUT
from bitternturn.cli.models import Action, Command, Invocation, usage_error
from bitternturn.cli.output import print_json
from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.gateway.request_log import (
    find_request_lines,
    read_lines,
    render_line,
)

DEFAULT_AROUND_S = 5.0


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the command."""
    flags.DEFINE_float(
        'around',
        DEFAULT_AROUND_S,
        'seconds before the request in which changes of belief are told',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_list(
        'logs',
        [STANDARD_INPUT],
        'files with log lines of the instances; - is the standard input',
        flag_values=values,
    )


async def _async_explain(call: Invocation) -> None:
    """Print the story of one request."""
    request_id = call.arguments[0]
    story = find_request_lines(
        read_lines(_texts(call.flags.logs)),
        request_id,
        lookback_s=call.flags.around,
    )
    if not story:
        raise BitternturnError(
            f'request {request_id} stands in none of the logs',
            code=ErrorCode.NOT_FOUND,
            step='read logs',
        )
    if call.json:
        print_json([line.fields for line in story])
        return
    for line in story:
        print(render_line(line, story[-1].time))


def _texts(names: Sequence[str]) -> Iterator[str]:
    """Yield the lines of files; raises BitternturnError."""
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
    summary='Tell what became of a request, from saved logs.',
    example='bitternturn explain 9c41d07be2a35f68 --logs a.log,b.log',
    actions={'': Action(run=_async_explain, arguments=('REQUEST',))},
    define_flags=define_flags,
)
