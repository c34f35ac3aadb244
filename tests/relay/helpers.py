"""Helpers for tests of the relay."""

from bitternturn.core.ids import FailureDomain
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.relay.traffic import RelayTraffic


def make_traffic(metrics=None):
    """Return the counters of an instance in the domain `north`."""
    return RelayTraffic(
        metrics=metrics or GatewayMetrics(), domain=FailureDomain('north')
    )
