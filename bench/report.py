"""A page of results with plots and a comparison with an earlier run."""

import json
import math
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from tabulate import tabulate

Results = Mapping[str, Mapping[str, Any]]

PAGE = 'report.md'
SAVED = 'results.json'
NODES_PLANNED = 440
AT_PLANNED = f'_at_{NODES_PLANNED}'

mpl.use('svg')


def write(folder: str, results: Results, compare: str = '') -> None:
    """Write page, plots and the results themselves into a folder."""
    place = Path(folder)
    place.mkdir(parents=True, exist_ok=True)
    # Read first: it may be the file that is written next.
    earlier = json.loads(Path(compare).read_text('utf-8')) if compare else {}
    (place / SAVED).write_text(
        json.dumps(results, indent=1, sort_keys=True),
        encoding='utf-8',
    )
    plots = [
        *_plot_overload(place, results.get('overload', {})),
        *_plot_tail(place, results.get('tail', {})),
        *_plot_control(place, results.get('control', {})),
        *_plot_domain(place, results.get('domain', {})),
    ]
    parts = ['# Bench report', '', *plots]
    for name, result in results.items():
        parts += ['', f'## {name}', '', _table(result, earlier.get(name))]
    (place / PAGE).write_text('\n'.join(parts) + '\n', encoding='utf-8')


def flatten(result: Any, path: str = '') -> Iterator[tuple[str, Any]]:
    """Yield each figure of a result with its path; lists stay whole."""
    if isinstance(result, Mapping):
        for name, part in result.items():
            yield from flatten(part, f'{path}.{name}' if path else str(name))
    elif not isinstance(result, list):
        yield path, result


def change(now: Any, before: Any) -> str:
    """Return how a figure differs from an earlier one."""
    numbers = all(
        isinstance(it, int | float) and not isinstance(it, bool)
        for it in (now, before)
    )
    if numbers and before and math.isfinite(now / before):
        return f'{now / before - 1:+.1%}'
    return '' if now == before else 'changed'


def _table(result: Mapping[str, Any], earlier: Any) -> str:
    """Return the figures of one bench, beside the earlier ones if any."""
    rows = list(flatten(result))
    if earlier is None:
        return tabulate(rows, headers=('figure', 'value'), tablefmt='github')
    before = dict(flatten(earlier))
    compared = [
        (name, value, before.get(name, '-'), change(value, before[name]))
        if name in before
        else (name, value, '-', 'new')
        for name, value in rows
    ]
    compared += [
        (name, '-', value, 'gone')
        for name, value in before.items()
        if name not in dict(rows)
    ]
    headers = ('figure', 'value', 'earlier', 'change')
    return tabulate(compared, headers=headers, tablefmt='github')


def _draw(title: str) -> tuple[Figure, Axes]:
    """Return an empty plot."""
    figure = Figure(figsize=(6, 3.5), layout='constrained')
    axes = figure.subplots()
    axes.set_title(title)
    return figure, axes


def _save(place: Path, name: str, figure: Figure) -> str:
    """Save a plot; return its line of the page."""
    figure.savefig(place / f'{name}.svg')
    return f'![{name}]({name}.svg)'


def _plot_overload(place: Path, result: Mapping[str, Any]) -> Iterator[str]:
    """Plot goodput against offered load, both as shares of capacity."""
    if not {'by_load', 'capacity_s'} <= result.keys():
        return
    points = sorted(
        (float(load), entry['goodput_s'] / result['capacity_s'])
        for load, entry in result['by_load'].items()
    )
    figure, axes = _draw('Load against goodput')
    loads, answered = zip(*points, strict=True)
    axes.plot(loads, answered, marker='o', label='measured')
    axes.plot(loads, [min(load, 1) for load in loads], ':', label='ideal')
    axes.legend()
    axes.set_xlabel('offered load / capacity')
    axes.set_ylabel('answered / capacity')
    yield _save(place, 'overload', figure)


def _plot_tail(place: Path, result: Mapping[str, Any]) -> Iterator[str]:
    """Plot latencies with and without the policy."""
    if 'plain_p99_ms' not in result:
        return
    figure, axes = _draw('Latency with and without the policy')
    names = ('p50_ms', 'p99_ms')
    for shift, prefix, label in (
        (-0.2, 'plain_', 'without'),
        (0.2, '', 'with'),
    ):
        axes.bar(
            [position + shift for position in range(len(names))],
            [result[f'{prefix}{name}'] for name in names],
            width=0.4,
            label=label,
        )
    axes.set_xticks(range(len(names)), names)
    axes.set_ylabel('ms')
    axes.legend()
    yield _save(place, 'tail', figure)


def _plot_control(place: Path, result: Mapping[str, Any]) -> Iterator[str]:
    """Plot each control cost over the nodes, out to the planned size."""
    readings = result.get('by_nodes', [])
    for key in sorted(result):
        name = key.removesuffix(AT_PLANNED)
        measured = [it for it in readings if name in it]
        if name == key or not measured:
            continue
        figure, axes = _draw(f'Control cost: {name}')
        axes.plot(
            [it['nodes'] for it in measured],
            [it[name] for it in measured],
            marker='o',
            linestyle='none',
            label='measured',
        )
        lines = result.get(f'{name}_lines')
        if lines:
            ends = (0, NODES_PLANNED)
            axes.plot(
                ends,
                [lines['intercept'] + lines['per_node'] * end for end in ends],
                label='line over the nodes',
            )
        axes.errorbar(
            [NODES_PLANNED],
            [result[key]],
            yerr=result.get(f'{name}_error', 0),
            marker='x',
            label='planned nodes and targets',
        )
        axes.set_xlabel('nodes')
        axes.legend()
        yield _save(place, f'control-{name}', figure)


def _plot_domain(place: Path, result: Mapping[str, Any]) -> Iterator[str]:
    """Plot coverage before, during and after the change of a domain."""
    spells = {
        'before': result.get('before_coverage'),
        'taken out and in': result.get('coverage_during'),
        'vanished': result.get('vanish_coverage'),
    }
    known = {name: value for name, value in spells.items() if value is not None}
    if not known:
        return
    figure, axes = _draw('Coverage through a domain change')
    axes.bar(list(known), list(known.values()))
    axes.set_ylim(min(0.9, *known.values()), 1)
    yield _save(place, 'domain', figure)
