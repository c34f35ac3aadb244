"""Options of a bench run."""

from dataclasses import dataclass


@dataclass(kw_only=True, frozen=True)
class Options:
    """What every bench is called with."""

    quick: bool
    seed: int

    def seconds(self, quick: float, full: float) -> float:
        """Return the length of a phase."""
        return quick if self.quick else full
