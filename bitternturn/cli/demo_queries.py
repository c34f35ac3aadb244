"""Queries that the demonstration sends to each deployment."""

from dataclasses import dataclass
from typing import Final

from bitternturn.standins.caller_models import CallerQuery
from bitternturn.standins.deployments import ASSOCIATION, ATLAS


@dataclass(kw_only=True, frozen=True, slots=True)
class DemoPlan:
    """Queries of the demonstration for one deployment."""

    deployment: str
    queries: tuple[CallerQuery, ...]
    # Sent twice with the same idempotency key.
    idempotent_query: CallerQuery


ATLAS_PLAN: Final = DemoPlan(
    deployment=ATLAS,
    queries=(
        CallerQuery(
            index='pay-lookup',
            profile='shed-queue',
            query={'match': {'picker': 'p-0017'}},
            limit=5,
        ),
        CallerQuery(
            index='grade-reporting',
            profile='reports',
            query={'match': {'grade': 'fine'}},
            limit=5,
        ),
        CallerQuery(
            index='ledger-desk',
            profile='ledger',
            query={'match': {'picker': 'p-0042'}},
            limit=5,
        ),
    ),
    idempotent_query=CallerQuery(
        index='ledger-desk',
        profile='record-weighing',
        query={
            'reserve': {'item': 'p-0017', 'quantity': 31, 'event': 'weighing'},
        },
        idempotency_key='weighing-2026-12-04-0001',
    ),
)

ASSOCIATION_PLAN: Final = DemoPlan(
    deployment=ASSOCIATION,
    queries=(
        CallerQuery(
            index='barrier-search',
            profile='organiser',
            query={'match': {'kind': 'ramp'}},
            limit=5,
        ),
        CallerQuery(
            index='dues-records',
            profile='reports',
            query={'match': {'kind': 'gate'}},
            limit=5,
        ),
        CallerQuery(
            index='booking-counter',
            profile='counter',
            query={'match': {'kind': 'panel'}},
            limit=5,
        ),
    ),
    idempotent_query=CallerQuery(
        index='booking-counter',
        profile='reservation',
        query={
            'reserve': {'item': 'ramp', 'quantity': 4, 'event': 'Naadam'},
        },
        idempotency_key='naadam-2027-ramps',
    ),
)
