"""Tests of the wire values of send outcomes."""

import pytest

from bitternturn.gateway.models import SendOutcome
from bitternturn.relay.outcomes import decode_outcome, encode_outcome
from bitternturn.schema.relay_pb2 import Part


class TestOutcomes:
    @pytest.mark.parametrize('outcome', list(SendOutcome))
    def test_every_outcome_is_preserved(self, outcome):
        part = Part.FromString(
            Part(outcome=encode_outcome(outcome)).SerializeToString()
        )
        assert decode_outcome(part.outcome) is outcome

    def test_unknown_outcome_is_lost(self):
        assert decode_outcome(99) is SendOutcome.LOST

    def test_answered_outcome_takes_no_bytes(self):
        part = Part(outcome=encode_outcome(SendOutcome.ANSWERED))
        assert not part.SerializeToString()
