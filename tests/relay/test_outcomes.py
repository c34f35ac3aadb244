"""Tests of the ends of sends in messages."""

import pytest

from bitternturn.gateway.models import Outcome
from bitternturn.relay.outcomes import decode_outcome, encode_outcome
from bitternturn.schema.relay_pb2 import Part


class TestOutcomes:
    @pytest.mark.parametrize('outcome', list(Outcome))
    def test_every_end_is_told_as_it_is(self, outcome):
        part = Part.FromString(
            Part(outcome=encode_outcome(outcome)).SerializeToString()
        )
        assert decode_outcome(part.outcome) is outcome

    def test_end_of_a_later_version_promises_nothing(self):
        assert decode_outcome(99) is Outcome.LOST

    def test_answer_takes_no_bytes(self):
        part = Part(outcome=encode_outcome(Outcome.ANSWERED))
        assert not part.SerializeToString()
