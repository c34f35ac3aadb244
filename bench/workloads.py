"""Deployments and queries that several benches use."""

import dataclasses
import random
from collections.abc import Callable

from bitternturn.standins.caller_models import CallerQuery
from bitternturn.standins.deployments import Deployment, load_deployment

PICKER_COUNT = 60


def select_indexes(name: str, *indexes: str) -> Deployment:
    """Return a deployment reduced to some of its indexes, at full size."""
    deployment = load_deployment(name)
    return dataclasses.replace(
        deployment,
        indexes=tuple(deployment.index(index) for index in indexes),
    )


def make_query_source(
    index: str,
    profile: str,
) -> Callable[[random.Random], CallerQuery]:
    """Return a function that draws a query for a random picker."""

    def draw(rng: random.Random) -> CallerQuery:
        return CallerQuery(
            index=index,
            profile=profile,
            query={'match': {'picker': f'p-{rng.randrange(PICKER_COUNT):04d}'}},
            request_id=f'{rng.getrandbits(64):016x}',
        )

    return draw
