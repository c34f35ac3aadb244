"""Defaults and limits of membership."""

from typing import Final

DEFAULT_PROBE_INTERVAL_S: Final = 0.25
DEFAULT_PROBE_TIMEOUT_S: Final = 0.2
DEFAULT_SUSPICION_S: Final = 0.6
DEFAULT_LEASE_S: Final = 1.5
# Maximum relative drift between two clocks.
DEFAULT_CLOCK_DRIFT: Final = 0.001

# Lifetime of an extension vote, in leases. The votes of more than half of the
# members have to spread through the fleet before they expire.
VOTE_LIFETIME_LEASES: Final = 6
# Fraction of a lease without a confirmation after which a member votes for an
# extension. A vote delays takeovers, so a member must not vote while
# confirmations still arrive in time.
VOTE_AFTER_LEASE_SHARE: Final = 0.75
READS_PER_LEASE: Final = 4
# Members of each failure domain that read the view for the others.
READERS_PER_DOMAIN: Final = 2
# Members that are asked to probe one that did not answer.
INDIRECT_PROBES: Final = 2
# Suspects that an instance probes again in one probe interval.
MAX_SUSPECT_PROBES: Final = 8
# Fraction of suspected members above which an instance assumes that it is
# itself isolated.
ISOLATED_SUSPECT_SHARE: Final = 0.67
# Minimum and maximum time between probes, in probe intervals.
PROBE_JITTER: Final = (0.7, 1.2)
# Factor on the probe rate while confirmations fail and the lease may expire.
OUTAGE_PROBE_FACTOR: Final = 4

MAX_DIGESTS_PER_MESSAGE: Final = 64
# Messages that carry a digest after it has changed: twice the gossip rounds
# that a change takes to reach a fleet of several hundred members.
DIGEST_TRANSMIT_LIMIT: Final = 20
# Digests at the transmit limit that a message may still carry.
MAX_REPEATED_DIGESTS: Final = 3
# View versions whose lease expiry an instance keeps.
MAX_LEASE_VERSIONS: Final = 16
MAX_UNSETTLED_VIEWS: Final = 16
MAX_HISTORY_CHANGES: Final = 256

TICK_INTERVAL_S: Final = 0.05
JOIN_BACKOFF_S: Final = 0.2
JOIN_BACKOFF_LIMIT_S: Final = 5.0
REJOIN_PROBE_INTERVAL_S: Final = 1.0
REJOIN_PEERS_TIMEOUT_S: Final = 30.0
EDIT_ATTEMPTS: Final = 16
EDIT_BACKOFF_S: Final = 0.01
EDIT_BACKOFF_LIMIT_S: Final = 0.3
# Members probed before removing others or joining again; half must answer.
REACHABILITY_SAMPLE_SIZE: Final = 4
# Members in the suspects' failure domains that are probed in one round.
MAX_DOMAIN_PROBES: Final = 16
HANDOVER_ATTEMPTS: Final = 3
INCARNATION_BITS: Final = 63

KIND_CONTROL: Final = 'control'
NAME_VIEW: Final = 'view'
# Key that is hashed to choose the readers of each failure domain.
READER_KEY: Final = 'reader'
