"""Which requests can't be served because targets have fallen silent.

Answers the load pattern in which all targets of some shards crash or hang at
once: each request over the shards would wait until its deadline for an answer
that does not reach the least coverage.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from bitternturn.core.ids import TargetId

# How long it is held against a target that it left a request unanswered, unless
# it answers another one, in seconds.
SILENCE_MEMORY_S: Final = 2.0
# Time between requests that are sent although they can't be served, to find out
# whether the targets are back, in seconds.
PROBE_S: Final = 0.5


class SilentTargets:
    """Targets that have not answered, and when that was noticed."""

    __slots__ = ('probed_at', 'since')

    def __init__(self) -> None:
        """Start with none."""
        self.since: dict[TargetId, float] = {}
        self.probed_at: float = 0

    def note_silence(self, targets: Iterable[TargetId], now: float) -> None:
        """Take in that these targets leave a request unanswered."""
        for target in targets:
            self.since[target] = now

    def note_answer(self, target: TargetId) -> None:
        """Take in that a target answers."""
        self.since.pop(target, None)

    def may_serve(
        self,
        targets: Iterable[Sequence[TargetId]],
        *,
        least: int,
        now: float,
    ) -> bool:
        """Return whether a request is worth sending.

        `targets` are those of each service that the request has to reach,
        `least` is the least number of services that an answer needs. One
        request in `PROBE_S` seconds is sent although it seems hopeless.
        """
        if not self.since:
            return True
        self._forget(now)
        answering = sum(
            any(target not in self.since for target in group)
            for group in targets
        )
        if answering >= least:
            return True
        if now - self.probed_at < PROBE_S:
            return False
        self.probed_at = now
        return True

    def _forget(self, now: float) -> None:
        """Drop what was noticed too long ago."""
        oldest = now - SILENCE_MEMORY_S
        self.since = {
            target: since
            for target, since in self.since.items()
            if since > oldest
        }
