"""Time remaining before a deadline."""


def remaining_s(*, deadline: float, now: float) -> float:
    """Return the seconds until a deadline, at least zero."""
    return max(0, deadline - now)


def can_finish(*, deadline: float, now: float, expected_s: float) -> bool:
    """Return whether work of the expected duration ends in time."""
    return deadline - now > expected_s
