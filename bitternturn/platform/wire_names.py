"""Names on the wire: headers, paths, kinds and names of objects."""

from typing import Final

HEADER_REQUEST_ID: Final = 'x-request-id'
# Remaining time until the sender's deadline, in milliseconds.
HEADER_DEADLINE: Final = 'x-deadline-remaining'
# Id of the target that a request is meant for; not one of our instances.
HEADER_TARGET: Final = 'x-target-instance'
# Signature that a target puts on its answer.
HEADER_STAMP: Final = 'x-server-stamp'
# Present if the target did not run the request.
HEADER_NOT_RUN: Final = 'x-not-executed'
# `1` in all answers of a target that leaves.
HEADER_LEAVING: Final = 'server-leaving'
# Requests per second that a target accepts from all instances together, in all
# answers while the limit holds.
HEADER_RATE_LIMIT: Final = 'server-limit'
# API key of a tenant, in requests of callers.
HEADER_API_KEY: Final = 'x-api-key'
# Name of the tenant, in requests to targets.
HEADER_TENANT: Final = 'x-tenant'
# Names the method of authentication in a response with status 401.
HEADER_AUTHENTICATE: Final = 'www-authenticate'
HEADER_PART_STAMPS: Final = 'x-part-stamps'
HEADER_MISSING_PARTS: Final = 'x-missing-parts'
HEADER_RETRY_AFTER: Final = 'retry-after'
HEADER_KEEP_ALIVE: Final = 'keep-alive'
HEADER_CONTENT_ENCODING: Final = 'content-encoding'

# Number of times that the store came back from an older copy of itself.
HEADER_STORE_ERA: Final = 'store-era'

# Headers that concern one connection only and are not forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    ),
)

PATH_READY: Final = '/bitternturn/ready'
PATH_OBJECTS: Final = '/bitternturn/objects'
KIND_CONFIGURATION: Final = 'config'
NAME_CONFIGURATION: Final = 'main'
# The platform calls targets servers.
KIND_TARGETS: Final = 'servers'
# One object for each failure domain that is taken out of service.
KIND_DOMAINS_OUT: Final = 'evacuations'
# One object for each service that is moved to another version.
KIND_ROLLOUTS: Final = 'rollouts'
# Private kind: one object for each instance that ever started.
KIND_INSTANCES: Final = 'bitternturn-instances'
# Objects in which our instances keep requests that crash targets.
KIND_SUSPECTS: Final = 'bitternturn-suspects'

# Environment variable with the path of the settings file of this instance.
SETTINGS_VARIABLE: Final = 'BITTERNTURN_NODE_FILE'

# Size of one record in the answer of a shard.
RECORD_BYTES: Final = 16
MS_PER_SECOND: Final = 1000
