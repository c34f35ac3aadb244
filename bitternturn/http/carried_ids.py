"""Record of the request ids that a connection has carried."""

from typing import Final

# Number of requests after which a connection carries no more, since the filter
# would exclude too many others: one connection in 2,048 requests is opened for
# it.
MAX_CARRIED: Final = 2048
# Size of the filter: 16 bits for each id. With four hashes, at most 0.3 % of the
# other ids are excluded as well, and 0.05 % on average.
FILTER_BITS: Final = 32_768
HASH_BITS: Final = 16
HASH_COUNT: Final = 4


class CarriedIds:
    """Bloom filter of request ids, in a fixed 4 KiB.

    A response states the id of its request. After a request, a faulty server may
    send further responses with its id at any time, so the connection must not
    carry the id again. Nothing identifies a request without an id, so it has a
    connection of its own.
    """

    __slots__ = ('bits', 'count', 'retired')

    def __init__(self) -> None:
        """Initialise as a connection that has carried no request."""
        self.bits: bytearray | None = None
        self.count = 0
        # Whether the connection must not carry any further request.
        self.retired = False

    def allows(self, request_id: str) -> bool:
        """Return whether the connection may carry a request."""
        if self.bits is None:
            return True
        if self.retired or not request_id:
            return False
        bits = self.bits
        return not all(
            bits[position >> 3] & (1 << (position & 7))
            for position in _positions(request_id)
        )

    def add(self, request_id: str) -> None:
        """Record that the connection carries a request."""
        if self.bits is None:
            self.bits = bytearray(FILTER_BITS // 8)
        for position in _positions(request_id):
            self.bits[position >> 3] |= 1 << (position & 7)
        self.count += 1
        self.retired = not request_id or self.count >= MAX_CARRIED


def _positions(request_id: str) -> list[int]:
    """Return the bits of an id, from disjoint parts of its 64-bit hash."""
    digest = hash(request_id)
    return [
        (digest >> (HASH_BITS * index)) % FILTER_BITS
        for index in range(HASH_COUNT)
    ]
