"""Queries of the emulated callers and the answers to them."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from bitternturn.core.errors import ErrorCode

OUTCOME_DONE = 'done'
OUTCOME_NOT_RUN = 'not_run'
OUTCOME_IN_DOUBT = 'in_doubt'


@dataclass(kw_only=True, frozen=True, slots=True)
class InstanceAddress:
    """Address of the listener for callers of one instance."""

    host: str
    port: int


@dataclass(kw_only=True, frozen=True, slots=True)
class CallerQuery:
    """One query with the parameters that a caller can set."""

    index: str
    profile: str
    query: Mapping[str, Any]
    shards: tuple[str, ...] = ()
    limit: int = 0
    deadline_ms: int = 0
    request_id: str = ''
    idempotency_key: str = ''

    def headers(self) -> dict[str, str]:
        """Return the request headers; empty ones are left out."""
        headers = {
            'x-request-id': self.request_id,
            'x-deadline-ms': str(self.deadline_ms or ''),
            'idempotency-key': self.idempotency_key,
        }
        return {name: it for name, it in headers.items() if it}

    def body(self) -> dict[str, Any]:
        """Return the request body, ready to be encoded as JSON."""
        body: dict[str, Any] = {'profile': self.profile, 'query': self.query}
        if self.shards:
            body['shards'] = self.shards
        if self.limit:
            body['limit'] = self.limit
        return body


@dataclass(kw_only=True, frozen=True, slots=True)
class QueryReply:
    """Body of a response, for answered and for refused queries."""

    request_id: str = ''
    outcome: str = ''
    snapshot: int = 0
    coverage: float = 0
    missing: tuple[str, ...] = ()
    hits: tuple[dict[str, Any], ...] = ()
    code: str = ''
    step: str = ''
    peer: str = ''
    message: str = ''
    retry_after_ms: int = 0


@dataclass(kw_only=True, frozen=True, slots=True)
class CallerAnswer:
    """Result of a query; status 0 means that no response was received."""

    status: int
    latency_s: float
    reply: QueryReply
    instance: InstanceAddress | None = None
    headers: Mapping[str, str] = field(default_factory=dict)

    @property
    def done(self) -> bool:
        """Return whether the query was answered successfully."""
        return self.reply.outcome == OUTCOME_DONE


def make_failure_reply(
    outcome: str, code: ErrorCode, message: str
) -> QueryReply:
    """Return the reply for a query that got no valid response."""
    return QueryReply(outcome=outcome, code=code.value, message=message)
