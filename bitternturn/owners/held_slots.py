"""Slots of requests that are given up but may still run at their target."""

from typing import NamedTuple

from bitternturn.owners import const


class HeldSlot(NamedTuple):
    """Ends of a slot's use: the likely one and the sure one."""

    likely: float
    sure: float


class HeldSlots:
    """Counts such slots.

    Closing a connection cancels its request, but a silent connection may not
    carry the closing to the target. In cold start a slot is therefore held
    until the request's deadline has passed; a warm target, which sheds what
    is too much, gets the slot back as soon as the closing arrives.
    """

    def __init__(self) -> None:
        """Start with none held."""
        self.slots: list[HeldSlot] = []

    def hold(self, *, deadline: float, now: float, usual_s: float = 0) -> None:
        """Hold the slot of a request whose connection was closed now."""
        self.slots.append(
            HeldSlot(
                likely=now + const.CANCEL_LINGER_S + usual_s,
                sure=max(deadline, now) + const.DEADLINE_LINGER_S,
            ),
        )

    def hold_closed(self, now: float) -> None:
        """Hold the slot of a request whose connection just carried bytes.

        Such a connection carries its closing too.
        """
        self.slots.append(
            HeldSlot(
                likely=now + const.CANCEL_LINGER_S,
                sure=now + const.DEADLINE_LINGER_S,
            ),
        )

    def count(self, now: float, *, strict: bool) -> int:
        """Return how many are held; `strict` until their sure ends."""
        if not self.slots:
            return 0
        self.slots = [slot for slot in self.slots if slot.sure > now]
        if strict:
            return len(self.slots)
        return sum(slot.likely > now for slot in self.slots)

    def next_end(self, now: float, *, strict: bool) -> float | None:
        """Return when the next one is given back."""
        ends = (slot.sure if strict else slot.likely for slot in self.slots)
        return min((end for end in ends if end > now), default=None)

    def last_end(self, *, strict: bool) -> float:
        """Return when none is held any more."""
        ends = (slot.sure if strict else slot.likely for slot in self.slots)
        return max(ends, default=0)
