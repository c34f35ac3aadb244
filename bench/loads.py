"""Deployments and queries of the benches."""

import dataclasses
import random
from collections.abc import Callable

from bitternturn.standins.caller_models import CallerQuery
from bitternturn.standins.deployments import Deployment, load_deployment

PICKERS = 60


def small_deployment(name: str, *indexes: str) -> Deployment:
    """Return a deployment with some of its indexes, at their full sizes."""
    deployment = load_deployment(name)
    return dataclasses.replace(
        deployment,
        indexes=tuple(deployment.index(index) for index in indexes),
    )


def make_queries(
    index: str,
    profile: str,
) -> Callable[[random.Random], CallerQuery]:
    """Return a function that draws one picker's query."""

    def draw(rng: random.Random) -> CallerQuery:
        return CallerQuery(
            index=index,
            profile=profile,
            query={'match': {'picker': f'p-{rng.randrange(PICKERS):04d}'}},
            request_id=f'{rng.getrandbits(64):016x}',
        )

    return draw
