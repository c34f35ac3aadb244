"""Slots of closed requests that may still run at their target."""

from typing import NamedTuple

from bitternturn.owners import const


class HeldSlot(NamedTuple):
    """When a slot is likely to be free, and when it is certain to be."""

    likely_end: float
    latest_end: float


class HeldSlots:
    """Counts the slots of closed requests until they are free.

    Closing a connection cancels its request, but over a silent connection the
    target may never see it close. In cold start a slot is therefore held until
    the request's deadline has passed. For a warm target, which sheds excess
    requests, it is held only until the target should have seen the close.
    """

    def __init__(self) -> None:
        """Initialise with no held slot."""
        self.slots: list[HeldSlot] = []

    def hold(
        self,
        *,
        deadline: float,
        now: float,
        typical_s: float = 0,
    ) -> None:
        """Hold the slot of a request whose connection was closed at `now`.

        `typical_s` is the time that the target likely still needs for it.
        """
        self.slots.append(
            HeldSlot(
                likely_end=now + const.CLOSE_DELAY_S + typical_s,
                latest_end=max(deadline, now) + const.DEADLINE_GRACE_S,
            ),
        )

    def hold_until_closed(self, now: float) -> None:
        """Hold the slot of a request whose connection was just active.

        Its close reaches the target, so the deadline need not be awaited.
        """
        self.slots.append(
            HeldSlot(
                likely_end=now + const.CLOSE_DELAY_S,
                latest_end=now + const.DEADLINE_GRACE_S,
            ),
        )

    def count(self, now: float, *, strict: bool) -> int:
        """Return how many slots are held; `strict` uses their latest ends."""
        if not self.slots:
            return 0
        self.slots = [slot for slot in self.slots if slot.latest_end > now]
        if strict:
            return len(self.slots)
        return sum(slot.likely_end > now for slot in self.slots)

    def next_end(self, now: float, *, strict: bool) -> float | None:
        """Return when the next slot becomes free, None if none is held."""
        ends = (
            slot.latest_end if strict else slot.likely_end
            for slot in self.slots
        )
        return min((end for end in ends if end > now), default=None)

    def last_end(self, *, strict: bool) -> float:
        """Return when the last slot becomes free, 0 if none is held."""
        ends = (
            slot.latest_end if strict else slot.likely_end
            for slot in self.slots
        )
        return max(ends, default=0)
