"""Outcomes of sends in messages between instances."""

from collections.abc import Mapping
from typing import Final

from bitternturn.gateway.models import Outcome
from bitternturn.schema import relay_pb2

_VALUES: Final[Mapping[Outcome, 'relay_pb2.SendOutcome.ValueType']] = {
    Outcome.ANSWERED: relay_pb2.SEND_OUTCOME_ANSWERED,
    Outcome.FAILED: relay_pb2.SEND_OUTCOME_FAILED,
    Outcome.NOT_RUN: relay_pb2.SEND_OUTCOME_NOT_RUN,
    Outcome.MISDIRECTED: relay_pb2.SEND_OUTCOME_MISDIRECTED,
    Outcome.UNREACHABLE: relay_pb2.SEND_OUTCOME_UNREACHABLE,
    Outcome.DECLINED: relay_pb2.SEND_OUTCOME_DECLINED,
    Outcome.NOT_SENT: relay_pb2.SEND_OUTCOME_NOT_SENT,
    Outcome.LOST: relay_pb2.SEND_OUTCOME_LOST,
}
_OUTCOMES: Final[Mapping[int, Outcome]] = {
    number: outcome for outcome, number in _VALUES.items()
}


def encode_outcome(outcome: Outcome) -> 'relay_pb2.SendOutcome.ValueType':
    """Return the wire value of an outcome."""
    return _VALUES[outcome]


def decode_outcome(number: int) -> Outcome:
    """Return the outcome of a wire value.

    An unknown value of a later version is LOST: the request may have run.
    """
    return _OUTCOMES.get(number, Outcome.LOST)
