"""Order of sends that wait for a connection or for their start.

Guards against urgent requests that wait behind others while targets are busy. More
urgent sends come first, then those with the earliest deadline. Less urgent ones get
a share, so that they do not starve.
"""

from bisect import bisect_left, insort
from collections.abc import Hashable, Iterator
from typing import Final, Generic, TypeVar

# Number of turns of more urgent sends after which less urgent ones that wait get a
# turn: a fifth of the turns.
URGENT_TURNS: Final = 4

Item = TypeVar('Item', bound=Hashable)
# Priority, deadline and number in the order of arrival.
Rank = tuple[int, float, int]


class TurnShare:
    """Decides when less urgent sends get a turn."""

    __slots__ = ('urgent_turns',)

    def __init__(self) -> None:
        """Initialise without turns."""
        # Turns of more urgent sends since the last one of others that waited.
        self.urgent_turns = 0

    @property
    def due(self) -> bool:
        """Whether less urgent sends get the next turn if any wait."""
        return self.urgent_turns >= URGENT_TURNS

    def record(self, *, less_urgent: bool, others_wait: bool) -> None:
        """Record a turn.

        `less_urgent` is whether it was that of less urgent sends, `others_wait`
        whether less urgent ones wait.
        """
        passed = others_wait and not less_urgent
        self.urgent_turns = self.urgent_turns + 1 if passed else 0


class SendQueue(Generic[Item]):
    """Waiting sends in the order in which they get a connection."""

    __slots__ = ('count', 'items', 'order', 'ranks', 'share')

    def __init__(self) -> None:
        """Initialise an empty queue."""
        self.count = 0
        # Public, as it is looked at for each send: empty if none waits.
        self.order: list[Rank] = []
        self.items: dict[Rank, Item] = {}
        self.ranks: dict[Item, Rank] = {}
        self.share = TurnShare()

    def __len__(self) -> int:
        """Return the number of sends."""
        return len(self.order)

    def __contains__(self, item: Item) -> bool:
        """Return whether a send waits."""
        return item in self.ranks

    def __iter__(self) -> Iterator[Item]:
        """Yield the sends, the most urgent first."""
        return (self.items[rank] for rank in self.order)

    def add(self, item: Item, *, priority: int, deadline: float) -> None:
        """Add a send; 0 is the most urgent priority."""
        self.count += 1
        rank = (priority, deadline, self.count)
        insort(self.order, rank)
        self.items[rank] = item
        self.ranks[item] = rank

    def remove(self, item: Item) -> None:
        """Remove a send that waits."""
        rank = self.ranks.pop(item)
        del self.items[rank]
        del self.order[bisect_left(self.order, rank)]

    def candidates(self) -> list[Item]:
        """Return the sends in the order in which the next connection suits."""
        if not self.order:
            return []
        if not self.share.due or not self._others_wait():
            return list(self)
        urgent = self.order[0][0]
        ranks = sorted(
            self.order, key=lambda rank: (rank[0] == urgent, *rank[1:])
        )
        return [self.items[rank] for rank in ranks]

    def take(self, item: Item) -> None:
        """Remove a send that gets a connection."""
        self.share.record(
            less_urgent=self.ranks[item][0] > self.order[0][0],
            others_wait=self._others_wait(),
        )
        self.remove(item)

    def _others_wait(self) -> bool:
        """Return whether sends of different priorities wait."""
        return bool(self.order) and self.order[-1][0] > self.order[0][0]
