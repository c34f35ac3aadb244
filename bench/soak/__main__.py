"""Runs the soak test: `script/soak --seed N --seeds COUNT --minutes M`."""

import argparse
import asyncio
import itertools
import json
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from bench.soak.callers import async_run_caller
from bench.soak.environment import SoakEnvironment
from bench.soak.faults import FAULTS
from bench.soak.invariants import InvariantChecker

CALLER_COUNT = 8
RECOVERY_S = 3.0
SERVED_TIMEOUT_S = 30.0


async def async_soak(
    seed: int,
    seconds: float,
    *,
    folder: Path,
    instances: int = 3,
) -> dict[str, object]:
    """Run the soak test with one seed and return its report."""
    environment = SoakEnvironment(rng=random.Random(seed), folder=folder)
    checker = InvariantChecker()
    stopped = asyncio.Event()
    await environment.async_start(instances)
    callers = [
        asyncio.create_task(
            async_run_caller(
                environment,
                checker,
                itertools.count(first_number, CALLER_COUNT),
                stopped,
            )
        )
        for first_number in range(CALLER_COUNT)
    ]
    try:
        await _async_wait_served(checker, 'at the start')
        await _async_inject_faults(environment, seconds)
        await asyncio.sleep(RECOVERY_S)
        await _async_wait_served(checker, 'after the last fault')
        stopped.set()
        await asyncio.gather(*callers)
        await asyncio.sleep(1)
        checker.check_runs(environment)
        for instance in environment.instances:
            if not instance.alive and not instance.stop_requested:
                checker.violations.append(instance.describe_unexpected_exit())
    finally:
        stopped.set()
        for caller in callers:
            caller.cancel()
        await environment.async_stop()
    return {
        'seed': seed,
        'requests': len(checker.answers),
        'statuses': dict(Counter(answer.status for answer in checker.answers)),
        'starts': sum(it.starts for it in environment.instances),
        'broken': checker.violations[:20],
    }


async def _async_wait_served(checker: InvariantChecker, when: str) -> None:
    """Wait until a request of each kind has been answered with status 200."""
    answer_count = len(checker.answers)
    timeout_at = time.monotonic() + SERVED_TIMEOUT_S
    while time.monotonic() < timeout_at:
        served = {
            answer.kind
            for answer in checker.answers[answer_count:]
            if answer.status == 200
        }
        if len(served) == 3:
            return
        await asyncio.sleep(0.1)
    checker.violations.append(
        f'requests of some kind not answered with status 200 {when}'
    )


async def _async_inject_faults(
    environment: SoakEnvironment, seconds: float
) -> None:
    """Inject random, overlapping faults for a time and wait for their end."""
    end_at = time.monotonic() + seconds
    running: set[asyncio.Task[None]] = set()
    while time.monotonic() < end_at:
        inject = environment.rng.choice(FAULTS)
        task = asyncio.create_task(
            inject(environment, environment.rng.uniform(0.5, 3))
        )
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(environment.rng.uniform(0.1, 1))
    await asyncio.gather(*running)


def main() -> int:
    """Run all seeds; return 1 if any report holds a violation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=0.25)
    parser.add_argument('--instances', type=int, default=3)
    parser.add_argument(
        '--keep', default='', help='folder in which settings and logs are kept'
    )
    arguments = parser.parse_args()
    failed = False
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        folder = Path(arguments.keep or tempfile.mkdtemp()) / f'seed-{seed}'
        folder.mkdir(parents=True, exist_ok=True)
        report = asyncio.run(
            async_soak(
                seed,
                arguments.minutes * 60,
                folder=folder,
                instances=arguments.instances,
            )
        )
        failed = failed or bool(report['broken'])
        print(json.dumps({**report, 'logs': str(folder)}), flush=True)
    return int(failed)


if __name__ == '__main__':
    sys.exit(main())
