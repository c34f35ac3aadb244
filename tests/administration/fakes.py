"""Administration handler that uses a stand-in of the object API."""

import json

from bitternturn.administration.handler import create_handler
from bitternturn.administration.models import (
    AdministrationDependencies,
    MemberStatus,
    StatusReport,
    TargetStatus,
    VersionStatus,
)
from bitternturn.core.clock import COUNTER_BITS
from bitternturn.core.metrics import Metrics
from bitternturn.http.models import Request
from bitternturn.schema.timeline_pb2 import Event
from tests.configuration.fakes import make_store

EVENT = Event(
    clock=1000 << COUNTER_BITS,
    instance_id='i-1',
    kind='query_started',
    request_id='r1',
)
REPORT = StatusReport(
    instance_id='i-1',
    failure_domain='north',
    ready=False,
    why_not_ready='no lease',
    versions=VersionStatus(view=3),
    members=(
        MemberStatus(
            instance_id='i-1',
            incarnation=7,
            failure_domain='north',
            state='active',
        ),
        MemberStatus(
            instance_id='i-2',
            incarnation=8,
            failure_domain='west',
            state='leaving',
        ),
    ),
    targets=(TargetStatus(target='t1', owner='i-1', state='cold', limit=1),),
)


class Administration:
    """A handler that records the timeline requests made to it."""

    def __init__(self, api, stack, **options):
        self.store = make_store(api, stack, **options)
        self.timeline_requests = []
        self.metrics = Metrics()
        self.handler = create_handler(
            dependencies=AdministrationDependencies(
                state=self.store.state,
                store=self.store,
                status=lambda: REPORT,
                timeline=self.async_timeline,
                metrics=self.metrics.render,
            )
        )

    async def async_timeline(self, request):
        self.timeline_requests.append(request)
        return [EVENT]

    async def async_call(self, method, path, body=None, **headers):
        path, _, query = path.partition('?')
        response = await self.handler(
            Request(
                method=method,
                path=path,
                query=query,
                headers={
                    name.replace('_', '-'): str(text)
                    for name, text in headers.items()
                },
                body=b'' if body is None else json.dumps(body).encode(),
            )
        )
        return response.status, json.loads(response.body)
