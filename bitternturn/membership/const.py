"""Defaults and limits of membership."""

from typing import Final

DEFAULT_PROBE_INTERVAL_S: Final = 0.25
DEFAULT_PROBE_TIMEOUT_S: Final = 0.2
DEFAULT_SUSPICION_S: Final = 0.6
DEFAULT_LEASE_S: Final = 1.5
DEFAULT_CLOCK_DRIFT: Final = 0.001

# A vouch has to reach more than half of the fleet before it expires.
VOUCH_LEASES: Final = 6
# Part of a lease without a confirmation after which a member vouches. A vouch
# delays take-overs, so it must not be made while confirmations come in time.
VOUCH_AFTER: Final = 0.75
READS_PER_LEASE: Final = 4
READERS_PER_DOMAIN: Final = 2
INDIRECT_PROBES: Final = 2
# Suspects that are probed again in one interval.
SUSPECTS_PER_ROUND: Final = 8
# Share of silent members above which an instance takes itself to be cut off.
CUT_OFF_SHARE: Final = 0.67
# Least and most time between probes, in intervals.
PROBE_JITTER: Final = (0.7, 1.2)
# Probes per interval while a lease runs out in an outage.
HURRIED_PROBES: Final = 4

DIGESTS_PER_MESSAGE: Final = 64
# Messages that carry a changed digest on; twice the rounds in which news
# reaches a fleet of some hundreds.
DIGEST_SENDS: Final = 20
# Digests of others in a message when nothing has changed.
KNOWN_DIGESTS: Final = 3
LEASE_VERSIONS: Final = 16
UNSETTLED_VIEWS: Final = 16
HISTORY_CHANGES: Final = 256

TICK_S: Final = 0.05
JOIN_RETRY_S: Final = 0.2
JOIN_RETRY_LIMIT_S: Final = 5.0
REJOIN_CHECK_S: Final = 1.0
REJOIN_DELAY_LIMIT_S: Final = 30.0
EDIT_ATTEMPTS: Final = 16
EDIT_RETRY_S: Final = 0.01
EDIT_RETRY_LIMIT_S: Final = 0.3
# Members to reach half of before removing others or joining again.
SAMPLE_PROBES: Final = 4
# Members of a suspect's failure domain that are probed at once.
DOMAIN_PROBES: Final = 16
HANDOVER_ATTEMPTS: Final = 3
INCARNATION_BITS: Final = 63

KIND_CONTROL: Final = 'control'
NAME_VIEW: Final = 'view'
READER_KEY: Final = 'reader'
