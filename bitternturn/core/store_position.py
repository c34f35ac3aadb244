"""Positions in the history of a store that may come back from an older copy.

Such a store begins a new era and gives out revisions again, so a revision alone
does not tell which of two states is newer. A position holds the era in its upper
15 bits and the revision in the lower 48; era 0 is that of a store without eras.
"""

from typing import Final

REVISION_BITS: Final = 48
ERA_BITS: Final = 15
MAX_ERA: Final = (1 << ERA_BITS) - 1
MAX_REVISION: Final = (1 << REVISION_BITS) - 1


def make_position(era: int, revision: int) -> int:
    """Return the position of a revision in an era."""
    return (min(era, MAX_ERA) << REVISION_BITS) | min(revision, MAX_REVISION)


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision of a position within its era."""
    return position & MAX_REVISION
