"""Runs a bench scenario by name and prints its results as the last line.

That line is one JSON object.
"""

import asyncio
import importlib
import json
import sys
import time

from absl import app, flags

from bench.options import Options

SCENARIOS = (
    'tail',
    'throughput',
    'overload',
    'cold',
    'domain',
    'rolling',
    'outage',
    'once',
    'spread',
    'silent',
    'control',
    'timeline',
    'fuzz',
    'limits',
    'suspects',
    'callers',
)

flags.DEFINE_boolean('quick', False, 'Run with short phases, 50 s at most.')
flags.DEFINE_integer('seed', 1, 'Seed of the random load and faults.')
flags.DEFINE_string(
    'report', '', 'Folder in which a report with plots is written.'
)
flags.DEFINE_string(
    'compare', '', 'Results file of an earlier run to compare with.'
)


def main(argv: list[str]) -> None:
    """Run the named scenario, or all, and write a report if requested."""
    names = argv[1:]
    if len(names) != 1 or names[0] not in (*SCENARIOS, 'all'):
        print(f'usage: script/bench {{{"|".join(SCENARIOS)}|all}} [--quick]')
        sys.exit(2)
    options = Options(quick=flags.FLAGS.quick, seed=flags.FLAGS.seed)
    chosen = SCENARIOS if names[0] == 'all' else names
    results = {name: run(name, options) for name in chosen}
    if flags.FLAGS.report:
        report = importlib.import_module('bench.report')
        report.write_report(flags.FLAGS.report, results, flags.FLAGS.compare)
    output = results if names[0] == 'all' else results[names[0]]
    print(json.dumps(output, sort_keys=True))


def run(name: str, options: Options) -> dict[str, object]:
    """Run one scenario; return its results with name, seed and duration."""
    scenario = importlib.import_module(f'bench.scenarios.{name}')
    started = time.monotonic()
    result = asyncio.run(scenario.async_run(options))
    result.update(
        bench=name,
        seed=options.seed,
        quick=options.quick,
        took_s=round(time.monotonic() - started, 1),
    )
    return result


if __name__ == '__main__':
    app.run(main)
