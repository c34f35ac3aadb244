"""Tests of the memory that incomplete frames of peers are counted with."""

from bitternturn.http.response_size import BodyBuffers
from bitternturn.relay import const
from bitternturn.relay.connection import RelayConnection
from bitternturn.schema.relay_pb2 import Frame, Leaving
from tests.gateway.helpers import make_gateway
from tests.relay.helpers import make_traffic


class OpenTransport:
    """A transport that stays open."""

    def is_closing(self):
        return False

    def get_extra_info(self, name):
        return None


def test_frame_that_is_complete_counts_no_more():
    """Guards against a large frame that counts after it was handled.

    The next, small frame has begun to arrive, so that the buffer is not empty.
    """
    buffers = BodyBuffers(max_bytes=10_000_000)
    connection = RelayConnection(
        on_frame=lambda connection, frame: None,
        on_lost=lambda connection: None,
        traffic=make_traffic(make_gateway().metrics),
        buffers=buffers,
    )
    connection.transport = OpenTransport()
    frame = Frame(number=1, leaving=Leaving())
    frame.parts.records = b'x' * 1_000_000
    content = frame.SerializeToString()
    wire = len(content).to_bytes(const.LENGTH_BYTES) + content
    connection.data_received(wire[:900_000])
    assert buffers.total_bytes == 900_000
    connection.data_received(wire[900_000:] + wire[:10])
    assert len(connection.buffer) == 10
    assert buffers.total_bytes <= 10_000
