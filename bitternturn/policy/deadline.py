"""Time left before a deadline."""


def remaining_s(*, deadline: float, now: float) -> float:
    """Return the seconds until a deadline, never below zero."""
    return max(0, deadline - now)


def can_finish(*, deadline: float, now: float, expected_s: float) -> bool:
    """Return whether work of this length ends before the deadline."""
    return deadline - now > expected_s
