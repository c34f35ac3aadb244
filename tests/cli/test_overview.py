"""Tests of the problems that `status` reports and of profile statistics."""

import math

from bitternturn.administration.models import (
    MemberStatus,
    StatusReport,
    TargetStatus,
    VersionStatus,
)
from bitternturn.cli.overview import InstanceStatus, Overview
from bitternturn.cli.profile_metrics import parse_profile_metrics
from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import IndexName, ProfileName
from bitternturn.core.metrics import Metrics

DESK = ProfileName('desk')


def make_instance(name, **changes):
    member = MemberStatus(
        instance_id=name, incarnation=1, failure_domain='a', state='active'
    )
    report = StatusReport(
        instance_id=name, failure_domain='a', **{'ready': True, **changes}
    )
    return InstanceStatus(member=member, report=report)


def make_overview(*instances, targets=(), **domains_out):
    return Overview(
        queried=instances[0].report,
        instances=list(instances),
        domains_out=domains_out,
        targets=list(targets),
    )


class TestProblems:
    def test_no_problems(self):
        target = TargetStatus(target='t', owner='i', state='warm')
        assert not make_overview(
            make_instance('i'), targets=[target]
        ).problems()

    def test_each_problem_names_its_subject(self):
        unreachable = make_instance('gone')
        unreachable.report = None
        target = TargetStatus(target='t', failure_domain='b', owner='i')
        found = make_overview(
            make_instance('i', versions=VersionStatus(profiles=4)),
            make_instance('late', versions=VersionStatus(profiles=3)),
            make_instance('cut', ready=False, why_not_ready='no lease'),
            make_instance('blind', store_reached=False),
            unreachable,
            targets=[target],
            a='fire',
        ).problems()
        text = '\n'.join(found)
        for part in (
            'instance late: profiles at version 3, newest is 4',
            'instance cut: not ready: no lease',
            'instance blind: object API not reachable',
            'instance gone: no answer',
            'failure domain a is out (fire)',
            'targets idle: 1 (t)',
        ):
            assert part in text


class TestParseProfileMetrics:
    def test_statistics_are_summed_over_instances(self):
        instances = [Metrics(), Metrics()]
        for metrics in instances:
            for latency_s in [0.015] * 98 + [0.9] * 2:
                metrics.record_query(
                    profile=DESK,
                    index=IndexName('ledger'),
                    latency_s=latency_s,
                    coverage=0.5,
                )
            metrics.count_refusal(profile=DESK, code=ErrorCode.DEADLINE)
        found = parse_profile_metrics(it.render().decode() for it in instances)[
            DESK
        ]
        assert (found.answered, found.coverage) == (200, 0.5)
        assert found.p99_s == 1.0
        assert found.refused == {'deadline': 2}

    def test_p99_is_nan_without_answers(self):
        metrics = Metrics()
        metrics.count_refusal(profile=DESK, code=ErrorCode.DEADLINE)
        assert math.isnan(
            parse_profile_metrics([metrics.render().decode()])[DESK].p99_s
        )
