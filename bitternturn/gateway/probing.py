"""Order in which the parts of a request are sent that may crash targets."""

from collections.abc import Collection, Sequence

from bitternturn.core.ids import ServiceName
from bitternturn.gateway.parts import Part


class ProbedParts:
    """Parts of a request of which only one is sent until it is answered.

    If a target ends, the others have not reached any.
    """

    def __init__(
        self, *, parts: Sequence[Part], doubted: Collection[ServiceName]
    ) -> None:
        """Initialise; the parts of services in which targets ended go first."""
        self.held = sorted(parts, key=lambda part: part.service not in doubted)
        self.probe: Part | None = None

    def next_probe(self) -> Part | None:
        """Return the next part to be sent alone, None if there is none."""
        self.probe = self.held.pop(0) if self.held else None
        return self.probe

    def is_probe(self, part: Part) -> bool:
        """Return whether a part is sent alone, so that it is not repeated."""
        return part is self.probe

    def release(self) -> Sequence[Part]:
        """Return the parts that were held back; none is from now on."""
        released = self.held
        self.held = []
        self.probe = None
        return released
