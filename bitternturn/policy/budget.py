"""Token bucket that is refilled by requests instead of by time."""

from typing import Final

from bitternturn.policy.const import DEFAULT_BUDGET_BURST

# Units per token. Integer arithmetic keeps rounding errors from exceeding the
# share over many requests.
TOKEN_UNITS: Final = 1_000_000


class TokenBudget:
    """Limits extra requests to `share` × requests + `burst`.

    A share of zero allows none. `share` is between 0 and 1, with a precision
    of six decimals; `burst` is a number of requests.
    """

    __slots__ = ('burst', 'share', 'tokens')

    def __init__(
        self,
        *,
        share: float,
        burst: int = DEFAULT_BUDGET_BURST,
    ) -> None:
        """Initialise a full bucket."""
        self.share = round(share * TOKEN_UNITS)
        self.burst = burst * TOKEN_UNITS
        self.tokens = self.burst

    def record_request(self) -> None:
        """Record a regular request, which refills the bucket."""
        tokens = self.tokens + self.share
        self.tokens = min(tokens, self.burst)

    def try_spend(self) -> bool:
        """Spend a token on an extra request; return False if none is left."""
        if self.tokens < TOKEN_UNITS or not self.share:
            return False
        self.tokens -= TOKEN_UNITS
        return True

    def set_share(self, share: float) -> None:
        """Update the share after a profile change; keep the present tokens."""
        self.share = round(share * TOKEN_UNITS)
