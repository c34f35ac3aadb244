"""Tests of telling the end of a target from lost connections."""

import pytest

from bitternturn.gateway.end_detection import MAX_CHECK_S, EndDetector
from bitternturn.platform.http_messages import read_request
from tests.gateway.helpers import make_request

CALLER = read_request(make_request())


class FakeConnections:
    """Counts the attempts to connect."""

    def __init__(self):
        self.attempts = 0

    def open(self, *, queued_count, busy_count):
        self.attempts += 1


class TestEnds:
    @pytest.fixture(autouse=True)
    def detector(self):
        self.ends = []
        self.connections = FakeConnections()
        self.detector = EndDetector(
            connections=self.connections,
            verify_link=lambda since, on_verdict: on_verdict(True),
            on_end=lambda callers, at: self.ends.append((len(callers), at)),
        )

    def lose(self, *times):
        """Record the loss of requests at some times."""
        for at in times:
            self.detector.record_loss(CALLER, at, busy_count=0)

    def test_refused_connection_shows_the_end(self):
        self.lose(1.0, 1.1)
        self.detector.record_unreachable(1.2)
        assert self.connections.attempts == 2
        assert self.ends == [(2, 1.0)]

    def test_end_is_reported_once(self):
        self.lose(1.0)
        self.detector.record_unreachable(1.1)
        self.detector.record_unreachable(1.2)
        assert len(self.ends) == 1

    def test_accepted_connection_refutes_it(self):
        self.lose(1.0)
        self.detector.record_connected(1.01)
        self.detector.record_unreachable(1.5)
        assert not self.ends

    def test_connection_opened_before_the_loss_refutes_nothing(self):
        self.lose(1.0)
        self.detector.record_connected(0.9)
        self.detector.record_unreachable(1.5)
        assert self.ends == [(1, 1.0)]

    def test_later_end_has_another_cause(self):
        self.lose(1.0)
        self.detector.record_unreachable(1.1 + MAX_CHECK_S)
        assert not self.ends

    def test_other_target_at_the_address_shows_the_end(self):
        """A target may be back before the connection is tried."""
        self.lose(1.0)
        self.detector.record_connected(1.01)
        self.detector.record_replaced(2.0)
        assert self.ends == [(1, 1.0)]

    def test_nothing_is_known_after_a_pause(self):
        self.lose(1.0)
        self.detector.discard()
        self.detector.record_unreachable(1.1)
        assert not self.ends
