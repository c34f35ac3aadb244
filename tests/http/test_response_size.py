"""Tests of the limits of responses."""

import pytest

from bitternturn.http.const import (
    MAX_FRAMING_BYTES,
    MAX_INTERIM_RESPONSES,
    SMALL_BODY_BYTES,
)
from bitternturn.http.response_size import BodyBuffers, ResponseSize


class TestResponseSize:
    @pytest.mark.parametrize(
        ('counts', 'message'),
        [
            ({'body_bytes': 100, 'received_bytes': 100}, ''),
            ({'body_bytes': 101, 'received_bytes': 101}, 'larger than 100'),
            ({'interim_count': MAX_INTERIM_RESPONSES}, ''),
            ({'interim_count': MAX_INTERIM_RESPONSES + 1}, 'interim'),
            ({'received_bytes': MAX_FRAMING_BYTES}, ''),
            ({'received_bytes': MAX_FRAMING_BYTES + 1}, 'framing'),
            # Chunks of one byte: each has a framing of five.
            ({'body_bytes': 90, 'received_bytes': 540}, ''),
        ],
    )
    def test_limits(self, counts, message):
        size = ResponseSize(max_body_bytes=100)
        for name, count in counts.items():
            setattr(size, name, count)
        assert message in size.excess()
        assert bool(message) == bool(size.excess())

    def test_each_response_is_counted_from_zero(self):
        size = ResponseSize(max_body_bytes=100)
        size.body_bytes = size.received_bytes = 101
        size.reset()
        assert not size.excess()


class TestBodyBuffers:
    def test_largest_body_is_aborted_first(self):
        buffers = BodyBuffers(max_bytes=10 * SMALL_BODY_BYTES)
        aborted = []
        first, second, third = (
            lambda name=name: aborted.append(name)
            for name in ('first', 'second', 'third')
        )
        buffers.update(first, 3 * SMALL_BODY_BYTES)
        buffers.update(second, 5 * SMALL_BODY_BYTES)
        buffers.update(third, 2 * SMALL_BODY_BYTES)
        assert not aborted
        buffers.update(third, 4 * SMALL_BODY_BYTES)
        assert aborted == ['second']
        assert buffers.total_bytes == 7 * SMALL_BODY_BYTES

    def test_complete_bodies_do_not_count(self):
        buffers = BodyBuffers(max_bytes=3 * SMALL_BODY_BYTES)
        aborted = []

        def abort():
            aborted.append(1)

        for _ in range(9):
            buffers.update(abort, 2 * SMALL_BODY_BYTES)
            buffers.discard(abort)
        assert not aborted
        assert not buffers.total_bytes
