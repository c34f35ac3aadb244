"""Timeouts and limits of the relay between instances."""

from typing import Final

# Size of the length prefix of a frame.
LENGTH_BYTES: Final = 4
MAX_FRAME_BYTES: Final = 8 * 1024 * 1024
# Share of the memory of the process for incomplete frames of all connections
# that were accepted. The connection with the largest one is closed first.
FRAME_MEMORY_SHARE: Final = 0.125
# Accepted connections that have not sent a frame within `SILENT_GRACE_S`. Peers
# send one at once; the oldest connection is closed first.
MAX_SILENT_CONNECTIONS: Final = 32
# Time in which the first frame of a peer is read, also by a busy process. After
# a restart all instances connect at once, and none of them may be closed.
SILENT_GRACE_S: Final = 1.0
# Accepted connections without a frame, of any age, unless the number follows
# from the descriptors of the process: more than the instances of a fleet, 440.
DEFAULT_MAX_NEW_CONNECTIONS: Final = 512
# Connections that the system may queue, for the same reason: with a full queue
# a connection takes a second longer than `CONNECT_TIMEOUT_S`.
LISTEN_BACKLOG: Final = 512
# Bit of the length prefix that marks a compressed frame.
COMPRESSED_FLAG: Final = 1 << 31
# Larger frames are compressed: configurations shrink to a tenth, lists of ids
# and stamps to less than two thirds.
MIN_COMPRESS_BYTES: Final = 512
COMPRESS_LEVEL: Final = 1
# Timeout for opening a connection to another instance.
CONNECT_TIMEOUT_S: Final = 0.5
# Backoff after a failure, in which an instance gets no requests. It doubles
# with each further failure up to the maximum.
INITIAL_BACKOFF_S: Final = 0.5
MAX_BACKOFF_S: Final = 4.0
# Time for which an instance gets no requests that did not know a target: its
# copy of the store's objects is outdated.
OUTDATED_BACKOFF_S: Final = 1.0
# Time for which an instance counts as cut off from a failure domain, unless it
# states before that it is back.
CUT_OFF_EXPIRY_S: Final = 10.0
# Time for which others are preferred to an instance that has declined a send to a
# failure domain, or over which no target there has answered.
UNHEARD_BACKOFF_S: Final = 1.0
# Instances over which one that is cut off spreads its sends to a domain.
PATHS_PER_DOMAIN: Final = 4
# Maximum size of a body in a message for a single target.
MAX_WHOLE_BODY_BYTES: Final = 4 * 1024 * 1024
# Backoff for an instance that has announced that it is leaving.
LEAVING_BACKOFF_S: Final = 8.0
# A peer has failed when its first report is overdue by more than this time.
REPORT_GRACE_S: Final = 0.06
# Time for a request to reach a peer and for its receipt to return, also while
# the peer handles another request. Without a receipt the peer counts as silent.
RECEIPT_TIMEOUT_S: Final = 0.06
# Time for the receipt of a request that a strong instance gathers. It is not busy,
# and without a receipt this instance still has time to send the parts.
GATHER_RECEIPT_TIMEOUT_S: Final = 0.03
# Number of instances that gather to which a weak one is connected: the preferred
# one, and the next one for the time in which that is lost.
CONNECTED_GATHERERS: Final = 2
# Interval at which the connections that the next wide request needs are checked: a
# restarted instance is back after some seconds.
KEEP_CONNECTED_INTERVAL_S: Final = 1.0
# Time for which others are preferred to a peer that has said that it is busy.
BUSY_BACKOFF_S: Final = 0.5
# Time for a request and its report to pass the network and a busy peer. It is
# added to the age at which a delegated part counts as late.
REPORT_LATENCY_S: Final = 0.015
# Shards per request to a peer: enough to amortise its cost, few enough for
# several peers to share a wide request.
SHARDS_PER_PEER: Final = 16
# Minimum number of parts of a request with few shards that are worth a message
# to a peer in their failure domain.
MIN_DELEGATED_PARTS: Final = 3
# Greatest priority that a message can state.
MAX_PRIORITY: Final = 2**32 - 1
# Number of sends for a peer that are started before other events are handled.
SENDS_PER_TURN: Final = 4
# Delay that batches ends of sends into one report, after the first report or
# for failures and hedges, which are reported early.
REPORT_BATCH_DELAY_S: Final = 0.002
# Time for which a follow request waits for a change. With the margin it is
# short enough that two readers that become silent together do not delay a
# configuration beyond its limit of 3 s.
FOLLOW_POLL_TIMEOUT_S: Final = 0.5
# Time beyond that wait within which the reply must arrive.
FOLLOW_REPLY_MARGIN_S: Final = 0.4
