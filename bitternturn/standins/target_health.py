"""Delayed health reports of an emulated target."""

from dataclasses import dataclass, replace

from bitternturn.core.ids import Snapshot
from bitternturn.standins.target_behaviour import TargetState


@dataclass(kw_only=True, frozen=True, slots=True)
class HealthReport:
    """Body of the answer of the health endpoint."""

    state: TargetState
    slots: int
    in_flight: int
    cold_limit: int
    held_snapshots: tuple[Snapshot, ...]

    def with_state(self, state: TargetState) -> 'HealthReport':
        """Return a copy of the report with another state."""
        return replace(self, state=state)


class LaggingHealth:
    """Returns each health report only after a lag."""

    def __init__(self) -> None:
        """Initialise without reports."""
        self._reports: list[tuple[float, HealthReport]] = []

    def record(self, report: HealthReport, now: float, *, lag_s: float) -> None:
        """Record the current report; discard superseded ones.

        The newest report that is at least as old as the lag is kept, together
        with all later ones.
        """
        self._reports.append((now, report))
        expired_count = sum(
            recorded_at <= now - lag_s for recorded_at, _ in self._reports
        )
        if expired_count:
            self._reports = self._reports[expired_count - 1 :]

    def read(self) -> HealthReport:
        """Return the newest report older than the lag, or else the oldest."""
        return self._reports[0][1]
