"""Token bucket that is filled by requests."""

from typing import Final

from bitternturn.policy.const import DEFAULT_BUDGET_BURST

# Whole numbers, so that rounding can't exceed a share over many requests.
TOKEN: Final = 1_000_000


class TokenBudget:
    """Allows at most `share` × requests + `burst` extra requests.

    A share of zero allows none. `share` lies between 0 and 1 and counts to
    six decimals, `burst` is a number of requests.
    """

    __slots__ = ('burst', 'share', 'tokens')

    def __init__(
        self,
        *,
        share: float,
        burst: int = DEFAULT_BUDGET_BURST,
    ) -> None:
        """Start with a full bucket."""
        self.share = round(share * TOKEN)
        self.burst = burst * TOKEN
        self.tokens = self.burst

    def note_request(self) -> None:
        """Count one request that is not extra."""
        tokens = self.tokens + self.share
        self.tokens = min(tokens, self.burst)

    def try_spend(self) -> bool:
        """Take a token for one extra request; return whether there was one."""
        if self.tokens < TOKEN or not self.share:
            return False
        self.tokens -= TOKEN
        return True

    def set_share(self, share: float) -> None:
        """Follow a changed profile; tokens that are there stay."""
        self.share = round(share * TOKEN)
