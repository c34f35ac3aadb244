"""Tests of truncated and malformed messages."""

from types import SimpleNamespace

import pytest

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.peers.frames import async_receive
from bitternturn.schema.peers_pb2 import QueryFrame


class FakeRawStream:
    def __init__(self, data):
        self.data = data

    async def recv_data(self, size):
        received, self.data = self.data[:size], self.data[size:]
        return received


class TestReceive:
    @pytest.mark.parametrize(
        'data', [b'\0\0', b'\0\0\0\0\5ab', b'\0\0\0\0\1\xff']
    )
    async def test_malformed_message_is_rejected(self, data):
        stream = SimpleNamespace(_stream=FakeRawStream(data))
        with pytest.raises(BitternturnError) as caught:
            await async_receive(stream, QueryFrame.FromString, peer='p')
        assert caught.value.code is ErrorCode.BAD_ANSWER
