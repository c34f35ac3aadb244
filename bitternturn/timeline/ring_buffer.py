"""Ring buffer of the latest events of one process."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from bitternturn.core.clock import HybridClock, wall_ms
from bitternturn.core.ids import InstanceId
from bitternturn.schema.timeline_pb2 import Event
from bitternturn.timeline.const import DEFAULT_EVENT_LIMIT
from bitternturn.timeline.models import EventKind

RawEvent = tuple[int, EventKind, str, str, str, str, str, int]


class BufferedEvent(NamedTuple):
    """One buffered event.

    The buffer holds plain tuples, which are cheaper to create.
    """

    clock: int
    kind: EventKind
    request_id: str
    shard: str
    target: str
    peer: str
    detail: str
    duration_us: int


class Timeline:
    """Ring buffer of events; the oldest are evicted when it is full."""

    def __init__(
        self,
        *,
        instance_id: InstanceId,
        capacity: int,
        clock: HybridClock,
        read_wall_ms: Callable[[], int] = wall_ms,
        enabled: bool = True,
    ) -> None:
        """Initialise an empty buffer."""
        self.instance_id = instance_id
        self.clock = clock
        self.read_wall_ms = read_wall_ms
        self.enabled = enabled
        self.entries: deque[RawEvent] = deque(maxlen=capacity)

    def emit(
        self,
        kind: EventKind,
        *,
        request_id: str = '',
        shard: str = '',
        target: str = '',
        peer: str = '',
        detail: str = '',
        duration_us: int = 0,
    ) -> None:
        """Record an event with a timestamp of the hybrid clock."""
        if not self.enabled:
            return
        self.entries.append(
            (
                self.clock.tick(now_ms=self.read_wall_ms()),
                kind,
                request_id,
                shard,
                target,
                peer,
                detail,
                duration_us,
            ),
        )

    def events(
        self,
        *,
        since: int = 0,
        request_id: str = '',
        target: str = '',
        limit: int = DEFAULT_EVENT_LIMIT,
    ) -> list[Event]:
        """Return the latest matching events, oldest first.

        Only events with a clock later than `since` are returned.
        """
        found: list[Event] = []
        for entry in map(BufferedEvent._make, reversed(self.entries)):
            if entry.clock <= since or len(found) >= limit:
                break
            if request_id and entry.request_id != request_id:
                continue
            if target and entry.target != target:
                continue
            found.append(self._to_event(entry))
        found.reverse()
        return found

    def _to_event(self, entry: BufferedEvent) -> Event:
        """Return the protobuf message of a buffered event."""
        return Event(
            clock=entry.clock,
            instance_id=self.instance_id,
            kind=entry.kind.value,
            request_id=entry.request_id,
            shard=entry.shard,
            target=entry.target,
            peer=entry.peer,
            detail=entry.detail,
            duration_us=max(entry.duration_us, 0),
        )
