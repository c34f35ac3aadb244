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

    def note(self, report: HealthReport, now: float) -> None:
        """Take in the report of now."""
        self._reports.append((now, report))

    def read(self, now: float, *, lag_s: float) -> HealthReport:
        """Return the newest report of that age, else the oldest."""
        old = [it for it in self._reports if it[0] <= now - lag_s]
        if old:
            self._reports = self._reports[len(old) - 1 :]
        return self._reports[0][1]
