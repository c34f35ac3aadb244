"""Report page of bench results with plots and a comparison."""

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

PAGE_FILE = 'report.md'
RESULTS_FILE = 'results.json'
PLANNED_INSTANCES = 440
PLANNED_SUFFIX = f'_at_{PLANNED_INSTANCES}'

mpl.use('svg')


def write_report(folder: str, results: Results, compare: str = '') -> None:
    """Write report page, plots and results into a folder.

    `compare` is the results file of an earlier run to compare with.
    """
    folder_path = Path(folder)
    folder_path.mkdir(parents=True, exist_ok=True)
    # Read before writing: the results file may be the same file.
    earlier = json.loads(Path(compare).read_text('utf-8')) if compare else {}
    (folder_path / RESULTS_FILE).write_text(
        json.dumps(results, indent=1, sort_keys=True),
        encoding='utf-8',
    )
    plots = [
        *_plot_overload(folder_path, results.get('overload', {})),
        *_plot_tail(folder_path, results.get('tail', {})),
        *_plot_control(folder_path, results.get('control', {})),
        *_plot_domain(folder_path, results.get('domain', {})),
        *_plot_limits(folder_path, results.get('limits', {})),
    ]
    parts = ['# Bench report', '', *plots]
    for name, result in results.items():
        parts += ['', f'## {name}', '', _table(result, earlier.get(name))]
    (folder_path / PAGE_FILE).write_text(
        '\n'.join(parts) + '\n', encoding='utf-8'
    )


def iter_figures(result: Any, path: str = '') -> Iterator[tuple[str, Any]]:
    """Yield each figure of a result with its dotted path; skip lists."""
    if isinstance(result, Mapping):
        for name, part in result.items():
            yield from iter_figures(
                part, f'{path}.{name}' if path else str(name)
            )
    elif not isinstance(result, list):
        yield path, result


def describe_change(current: Any, earlier_value: Any) -> str:
    """Return the change of a figure, relative if both are numbers."""
    numbers = all(
        isinstance(it, int | float) and not isinstance(it, bool)
        for it in (current, earlier_value)
    )
    if numbers and earlier_value and math.isfinite(current / earlier_value):
        return f'{current / earlier_value - 1:+.1%}'
    return '' if current == earlier_value else 'changed'


def _table(result: Mapping[str, Any], earlier: Any) -> str:
    """Return the figures of one bench, compared with earlier ones if any."""
    rows = list(iter_figures(result))
    if earlier is None:
        return tabulate(rows, headers=('figure', 'value'), tablefmt='github')
    earlier_values = dict(iter_figures(earlier))
    compared = [
        (
            name,
            value,
            earlier_values.get(name, '-'),
            describe_change(value, earlier_values[name]),
        )
        if name in earlier_values
        else (name, value, '-', 'new')
        for name, value in rows
    ]
    compared += [
        (name, '-', value, 'gone')
        for name, value in earlier_values.items()
        if name not in dict(rows)
    ]
    headers = ('figure', 'value', 'earlier', 'change')
    return tabulate(compared, headers=headers, tablefmt='github')


def _make_plot(title: str) -> tuple[Figure, Axes]:
    """Return an empty plot."""
    figure = Figure(figsize=(6, 3.5), layout='constrained')
    axes = figure.subplots()
    axes.set_title(title)
    return figure, axes


def _save(folder_path: Path, name: str, figure: Figure) -> str:
    """Save a plot; return the line that shows it on the page."""
    figure.savefig(folder_path / f'{name}.svg')
    return f'![{name}]({name}.svg)'


def _plot_overload(
    folder_path: Path, result: Mapping[str, Any]
) -> Iterator[str]:
    """Plot goodput over offered load, both relative to capacity."""
    if not {'by_load', 'capacity_s'} <= result.keys():
        return
    points = sorted(
        (float(load), entry['goodput_s'] / result['capacity_s'])
        for load, entry in result['by_load'].items()
    )
    figure, axes = _make_plot('Load against goodput')
    loads, goodput = zip(*points, strict=True)
    axes.plot(loads, goodput, marker='o', label='measured')
    axes.plot(loads, [min(load, 1) for load in loads], ':', label='ideal')
    axes.legend()
    axes.set_xlabel('offered load / capacity')
    axes.set_ylabel('answered / capacity')
    yield _save(folder_path, 'overload', figure)


def _plot_limits(folder_path: Path, result: Mapping[str, Any]) -> Iterator[str]:
    """Plot the share of rate limits that fleets use, over their size."""
    if 'rows' not in result:
        return
    figure, axes = _make_plot('Use of a limit of 7 requests a second')
    for traffic in ('even', 'zipf', 'delegates'):
        points = [
            (row['instances'], row['used'])
            for row in result['rows']
            if row['traffic'] == traffic and row['limit_per_s'] == 7
        ]
        sizes, used = zip(*points, strict=True)
        axes.plot(sizes, used, marker='o', label=traffic)
    axes.legend()
    axes.set_xlabel('instances')
    axes.set_ylabel('sent / limit')
    axes.set_ylim(0, 1)
    yield _save(folder_path, 'limits', figure)


def _plot_tail(folder_path: Path, result: Mapping[str, Any]) -> Iterator[str]:
    """Plot latencies with and without hedges and retries."""
    if 'plain_p99_ms' not in result:
        return
    figure, axes = _make_plot('Latency with and without the policy')
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
    yield _save(folder_path, 'tail', figure)


def _plot_control(
    folder_path: Path, result: Mapping[str, Any]
) -> Iterator[str]:
    """Plot each control cost over the instances up to the planned size."""
    readings = result.get('by_nodes', [])
    for key in sorted(result):
        name = key.removesuffix(PLANNED_SUFFIX)
        measured_readings = [it for it in readings if name in it]
        if name == key or not measured_readings:
            continue
        figure, axes = _make_plot(f'Control cost: {name}')
        axes.plot(
            [it['nodes'] for it in measured_readings],
            [it[name] for it in measured_readings],
            marker='o',
            linestyle='none',
            label='measured',
        )
        lines = result.get(f'{name}_lines')
        if lines:
            ends = (0, PLANNED_INSTANCES)
            axes.plot(
                ends,
                [lines['intercept'] + lines['per_node'] * end for end in ends],
                label='line fitted over the instances',
            )
        axes.errorbar(
            [PLANNED_INSTANCES],
            [result[key]],
            yerr=result.get(f'{name}_error', 0),
            marker='x',
            label='planned instances and targets',
        )
        axes.set_xlabel('instances')
        axes.legend()
        yield _save(folder_path, f'control-{name}', figure)


def _plot_domain(folder_path: Path, result: Mapping[str, Any]) -> Iterator[str]:
    """Plot coverage before and during changes of a failure domain."""
    coverage_by_period = {
        'before': result.get('before_coverage'),
        'taken out and in': result.get('coverage_during'),
        'vanished': result.get('vanish_coverage'),
    }
    available = {
        name: value
        for name, value in coverage_by_period.items()
        if value is not None
    }
    if not available:
        return
    figure, axes = _make_plot('Coverage through a domain change')
    axes.bar(list(available), list(available.values()))
    axes.set_ylim(min(0.9, *available.values()), 1)
    yield _save(folder_path, 'domain', figure)
