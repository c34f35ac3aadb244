"""Health endpoint of a target stand-in, which lags."""

from dataclasses import dataclass, replace

from bitternturn.core.ids import Snapshot
from bitternturn.standins.target_behaviour import TargetState


@dataclass(kw_only=True, frozen=True, slots=True)
class HealthReport:
    """What the health endpoint tells."""

    state: TargetState
    slots: int
    in_flight: int
    cold_limit: int
    held_snapshots: tuple[Snapshot, ...]

    def with_state(self, state: TargetState) -> 'HealthReport':
        """Return the report with another state."""
        return replace(self, state=state)


class LaggingHealth:
    """Tells a report only when it has reached an age."""

    def __init__(self) -> None:
        """Start without a report."""
        self._reports: list[tuple[float, HealthReport]] = []

    def note(self, report: HealthReport, now: float, *, lag_s: float) -> None:
        """Take in the report of now; forget those too old to be told."""
        self._reports.append((now, report))
        old = sum(noted_at <= now - lag_s for noted_at, _ in self._reports)
        if old:
            self._reports = self._reports[old - 1 :]

    def read(self) -> HealthReport:
        """Return the newest report of that age, else the oldest."""
        return self._reports[0][1]
