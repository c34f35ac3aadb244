"""Tests of the key that all attempts of a request share."""

from bitternturn.gateway.identity import identify_request
from bitternturn.platform.http_messages import read_request
from tests.gateway.helpers import make_request


def identify(request_id='q1', **changes):
    """Return the key of a request of the gateway's helpers."""
    return identify_request(read_request(make_request(request_id, **changes)))


class TestRequestKey:
    def test_attempts_of_a_request_share_it(self):
        assert identify('q1', left_ms=900) == identify('q2', left_ms=100)

    def test_query_body_and_caller_are_part_of_it(self):
        keys = {
            identify(),
            identify(path='/a/x?page=2'),
            identify(body=b'x'),
            identify(method='POST'),
            identify(pairs=[(b'authorization', b'one')]),
            identify(pairs=[(b'authorization', b'two')]),
        }
        assert len(keys) == 6

    def test_fields_do_not_run_into_each_other(self):
        assert identify(path='/a/x', body=b'yz') != identify(
            path='/a/xy', body=b'z'
        )
