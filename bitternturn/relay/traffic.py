"""Counts the bytes between instances by kind of message and distance."""

from collections.abc import Mapping
from enum import Enum, unique

from bitternturn.core.ids import FailureDomain
from bitternturn.gateway.metrics import GatewayMetrics
from bitternturn.schema.relay_pb2 import Frame

METRIC = 'relay_bytes'


@unique
class Direction(Enum):
    """Direction of a message, seen from this instance."""

    SENT = 'sent'
    RECEIVED = 'received'


class RelayTraffic:
    """Counters of the messages of one instance, without TCP/IP headers."""

    def __init__(
        self, *, metrics: GatewayMetrics, domain: FailureDomain
    ) -> None:
        """Initialise without known peers."""
        self.metrics = metrics
        self.domain = domain
        # Failure domain of the instance at each address.
        self.domains: Mapping[str, FailureDomain] = {}

    def record(
        self, host: str, frame: Frame, direction: Direction, size: int
    ) -> None:
        """Add the size of one message from or to the instance at `host`."""
        domain = self.domains.get(host)
        scope = 'unknown'
        if domain is not None:
            scope = 'same_domain' if domain == self.domain else 'other_domain'
        self.metrics.add(
            METRIC,
            size,
            kind=frame.WhichOneof('content') or 'none',
            direction=direction.value,
            scope=scope,
        )
