"""Time limits and other constants of the gateway."""

from typing import Final

from bitternturn.policy.unresponsive_targets import PROBE_INTERVAL_S

# Timeout of opening a connection to a target, in seconds. TCP retransmits a
# lost SYN packet after one second.
CONNECT_TIMEOUT_S: Final = 1.0
# Share of a target's connection limit that all instances together use. The
# rest is headroom, since an instance learns late of instances that join.
MAX_CONNECTION_SHARE: Final = 0.9
# Maximum idle time, in seconds, of a connection that is reused for a request
# that must not be repeated: the target may reset one that was idle for longer.
NON_REPEATABLE_MAX_IDLE_S: Final = 1.0
# Share of a target's stated idle timeout after which its connections are not
# reused.
IDLE_TIMEOUT_SHARE: Final = 0.75
# Idle timeout of targets that state none, in seconds.
DEFAULT_IDLE_TIMEOUT_S: Final = 10.0
# How long a send may continue after its answer is no longer needed, in
# seconds. Most answers arrive within this time, which saves a new connection
# and the slot that it takes at the target; work that continues for more than
# 0.5 s counts as wasted.
DETACHED_SEND_TIMEOUT_S: Final = 0.25
# Sends of one part allowed beyond the route's limit of targets, to replace
# sends that a target refused without running the request.
EXTRA_SENDS: Final = 1
# A part is sent again after at most this many sends that reached no target.
MAX_UNDELIVERED_SENDS: Final = 3
# A part is sent again after at most this many sends that found no path to their
# targets; each of them was tried over another instance.
MAX_PATHS: Final = 6
# Lateness of a timer from which on answers may be waiting to be read.
MAX_TIMER_LATENESS_S: Final = 0.02
# Time before the caller's deadline at which a request ends without an answer,
# so that the error response arrives in time, in seconds.
DEADLINE_MARGIN_S: Final = 0.015
# Minimum remaining time for a new send, in seconds; no target answers faster.
MIN_SEND_TIME_S: Final = 0.004
# Retry-After when too few services have a target, in seconds.
UNAVAILABLE_RETRY_AFTER_S: Final = 0.3
# Retry-After while the instance has not loaded its state yet, in seconds.
NOT_READY_RETRY_AFTER_S: Final = 0.5
# Retry-After while too many targets are unresponsive, in seconds: the interval
# at which they are probed.
SILENT_TARGETS_RETRY_AFTER_S: Final = PROBE_INTERVAL_S
# Time that a missing target entry has to reappear after the store is back, in
# seconds.
EXPIRED_ENTRY_GRACE_S: Final = 2.2
# Time after which the content of a store that came back from an older copy is
# believed where it contradicts what was known, in seconds: operators and targets
# have written again by then.
RESTORED_DOUBT_S: Final = 3.0
# Time since the last confirmation after which an instance that reaches neither the
# store nor a peer that does is out of date, in seconds: longer than a watch waits.
OUTDATED_S: Final = 10.0
# Time for which removed targets are remembered, in seconds: more than the age of
# the copy from which the store comes back.
REMOVED_MEMORY_S: Final = 60.0
# Time after a store failure during which a missing entry may have expired only
# because its target could not renew it, in seconds.
STORE_FAILURE_WINDOW_S: Final = 8.0
# Timeout of requests for which neither caller nor route states one, in seconds.
DEFAULT_TIMEOUT_S: Final = 5.0
# Time after the stop signal until the load balancer sends no new connections,
# in seconds: two health probes, one per second, and a margin.
ROTATION_EXIT_S: Final = 2.3
# Time before the end of the grace period at which new requests are refused, in
# seconds.
REFUSE_BEFORE_EXIT_S: Final = 1.6
# Time before the end of the grace period at which requests in flight are
# ended, in seconds.
ABORT_BEFORE_EXIT_S: Final = 0.2
# Minimum number of shards of a route whose sends are delegated to peers.
MIN_WIDE_ROUTE_SHARDS: Final = 32
# Maximum size of an answer without shards, in bytes.
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
# Maximum size of a part: a multiple of the records that the route asks for,
# since a target may return more than these, and at least the given bytes.
MAX_PART_RECORDS_FACTOR: Final = 16
MIN_PART_LIMIT_BYTES: Final = 64 * 1024
# Share of the memory of the process for answers that are being received.
ANSWER_MEMORY_SHARE: Final = 0.125
BYTES_PER_MEGABYTE: Final = 1_000_000
# Minimum delay of a request's timer, in seconds.
MIN_TIMER_DELAY_S: Final = 0.001
# Delay of requests that were received during a pause of the process, until all
# that waited has been read, in seconds.
PAUSE_SETTLE_S: Final = 0.002
# Time for which the permit of a send holds that waits for a connection, in
# seconds. Later, sends of other instances may have followed.
PERMIT_TIMEOUT_S: Final = 0.25
