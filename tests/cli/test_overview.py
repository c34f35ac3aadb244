"""Tests of the problems that `status` reports and of profile statistics."""

import math

from bitternturn.administration.models import (
    MemberStatus,
    StatusReport,
    TargetStatus,
    VersionStatus,
)
from bitternturn.cli.overview import InstanceReading, Overview
from bitternturn.cli.readings import read_profiles
from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import IndexName, ProfileName
from bitternturn.core.metrics import Metrics

DESK = ProfileName('desk')


def reading(name, **changes):
    member = MemberStatus(
        instance_id=name, incarnation=1, failure_domain='a', state='active'
    )
    report = StatusReport(
        instance_id=name, failure_domain='a', **{'ready': True, **changes}
    )
    return InstanceReading(member=member, report=report)


def overview(*instances, targets=(), **domains_out):
    return Overview(
        asked=instances[0].report,
        instances=list(instances),
        domains_out=domains_out,
        targets=list(targets),
    )


class TestWrongs:
    def test_no_problems(self):
        target = TargetStatus(target='t', owner='i', state='warm')
        assert not overview(reading('i'), targets=[target]).wrongs()

    def test_each_problem_names_its_subject(self):
        silent = reading('gone')
        silent.report = None
        target = TargetStatus(target='t', failure_domain='b', owner='i')
        found = overview(
            reading('i', versions=VersionStatus(profiles=4)),
            reading('late', versions=VersionStatus(profiles=3)),
            reading('cut', ready=False, why_not_ready='no lease'),
            reading('blind', store_reached=False),
            silent,
            targets=[target],
            a='fire',
        ).wrongs()
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


class TestReadProfiles:
    def test_sums_over_instances(self):
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
        found = read_profiles(it.render().decode() for it in instances)[DESK]
        assert (found.answered, found.coverage) == (200, 0.5)
        assert found.p99_s == 1.0
        assert found.refused == {'deadline': 2}

    def test_without_answers(self):
        metrics = Metrics()
        metrics.count_refusal(profile=DESK, code=ErrorCode.DEADLINE)
        assert math.isnan(
            read_profiles([metrics.render().decode()])[DESK].p99_s
        )
