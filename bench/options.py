"""Command line options of a bench run."""

from dataclasses import dataclass


@dataclass(kw_only=True, frozen=True)
class Options:
    """Options that every scenario is run with."""

    quick: bool
    seed: int

    def choose_seconds(self, quick: float, full: float) -> float:
        """Return the length of a phase in seconds for a quick or full run."""
        return quick if self.quick else full
