"""Queries of the emulated target: equality, text and reservations."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.core.ids import Snapshot
from bitternturn.standins.samples import Document, Scalar, score


@dataclass(kw_only=True, frozen=True, slots=True)
class Reservation:
    """Quantity of an item to reserve for an event."""

    item: str
    quantity: int
    event: str


@dataclass(kw_only=True, frozen=True, slots=True)
class TargetQuery:
    """A search by equality and text, or a reservation."""

    match: Mapping[str, Scalar] = field(default_factory=dict)
    text: str = ''
    reserve: Reservation | None = None


def decode_query(body: bytes) -> TargetQuery:
    """Decode a query; raises BitternturnError BAD_REQUEST if malformed."""
    try:
        return msgspec.json.decode(body, type=TargetQuery)
    except msgspec.DecodeError as error:
        raise BitternturnError(
            str(error),
            code=ErrorCode.BAD_REQUEST,
            step='decode query',
        ) from error


def search(
    query: TargetQuery,
    documents: Iterable[Document],
    snapshot: Snapshot,
) -> list[dict[str, Scalar]]:
    """Return the hits of a query in JSON form, best first."""
    hits = [
        _hit(document, query, snapshot)
        for document in documents
        if matches(query, document)
    ]
    hits.sort(key=lambda hit: (-float(hit['score']), hit['id']))
    return hits


def matches(query: TargetQuery, document: Document) -> bool:
    """Return whether a document matches a query."""
    for name, wanted in query.match.items():
        if document.fields.get(name) != wanted:
            return False
    if not query.text:
        return True
    text = query.text.lower()
    return any(text in str(it).lower() for it in document.fields.values())


def make_confirmation(
    reservation: Reservation,
    reservation_id: str,
    snapshot: Snapshot,
) -> list[dict[str, Scalar]]:
    """Return the single hit that confirms a reservation, in JSON form."""
    return [
        {
            'id': reservation_id,
            'score': 1,
            'snapshot': snapshot,
            'item': reservation.item,
            'quantity': reservation.quantity,
            'event': reservation.event,
        },
    ]


def _hit(
    document: Document,
    query: TargetQuery,
    snapshot: Snapshot,
) -> dict[str, Scalar]:
    """Return a hit with its snapshot, so that mixed answers can be detected."""
    return {
        **document.fields,
        'id': document.id,
        'score': score(document, query.text),
        'snapshot': snapshot,
    }
