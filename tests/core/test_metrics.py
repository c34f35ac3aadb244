"""Tests of the metrics."""

from bitternturn.core.errors import ErrorCode
from bitternturn.core.ids import IndexName, ProfileName, TargetId
from bitternturn.core.metrics import Metrics, TargetLoad

DESK = ProfileName('desk')
LEDGER = IndexName('ledger')


def rendered_lines(metrics: Metrics) -> set[str]:
    return set(metrics.render().decode().splitlines())


class TestRender:
    def test_queries_are_labelled_by_profile_and_index(self):
        metrics = Metrics()
        for latency_s in (0.004, 0.3):
            metrics.record_query(
                profile=DESK, index=LEDGER, latency_s=latency_s, coverage=0.9
            )
        lines = rendered_lines(metrics)
        labels = 'index="ledger"'
        name = 'bitternturn_query_latency_seconds'
        assert (
            f'{name}_bucket{{{labels},le="0.005",profile="desk"}} 1.0' in lines
        )
        assert f'{name}_count{{{labels},profile="desk"}} 2.0' in lines
        assert (
            f'bitternturn_query_coverage_sum{{{labels},profile="desk"}} 1.8'
            in lines
        )

    def test_counters_sum_by_label(self):
        metrics = Metrics()
        metrics.count_refusal(profile=DESK, code=ErrorCode.OVERLOADED)
        metrics.count_sub_requests(index=LEDGER, outcome='answered', count=7)
        metrics.count_hedges(profile=DESK)
        metrics.count_hedges(profile=DESK, count=2)
        metrics.count_retries(profile=DESK)
        assert rendered_lines(metrics) >= {
            'bitternturn_refusals_total{code="overloaded",profile="desk"} 1.0',
            'bitternturn_sub_requests_total'
            '{index="ledger",outcome="answered"} 7.0',
            'bitternturn_hedges_total{profile="desk"} 3.0',
            'bitternturn_retries_total{profile="desk"} 1.0',
        }

    def test_gauges_are_read_when_rendered(self):
        metrics = Metrics()
        readings: list[TargetLoad] = []
        metrics.register_target_gauges(lambda: readings)
        metrics.register_gauge('members', lambda: len(readings))
        readings.append(
            TargetLoad(target=TargetId('t1'), limit=4, in_flight=3, queued=2)
        )
        assert rendered_lines(metrics) >= {
            'bitternturn_target_limit{target="t1"} 4.0',
            'bitternturn_target_in_flight{target="t1"} 3.0',
            'bitternturn_target_queued{target="t1"} 2.0',
            'bitternturn_members 1.0',
        }
        readings.clear()
        assert (
            'bitternturn_target_limit{target="t1"} 4.0'
            not in rendered_lines(metrics)
        )

    def test_instances_in_one_process_have_separate_metrics(self):
        first, second = Metrics(), Metrics()
        first.count_hedges(profile=DESK)
        assert b'desk' not in second.render()
