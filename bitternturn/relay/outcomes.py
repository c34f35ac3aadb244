"""Outcomes of sends in messages between instances."""

from collections.abc import Mapping
from typing import Final

from bitternturn.gateway.models import SendOutcome
from bitternturn.schema import relay_pb2

_VALUES: Final[Mapping[SendOutcome, 'relay_pb2.SendOutcome.ValueType']] = {
    SendOutcome.ANSWERED: relay_pb2.SEND_OUTCOME_ANSWERED,
    SendOutcome.FAILED: relay_pb2.SEND_OUTCOME_FAILED,
    SendOutcome.NOT_RUN: relay_pb2.SEND_OUTCOME_NOT_RUN,
    SendOutcome.MISDIRECTED: relay_pb2.SEND_OUTCOME_MISDIRECTED,
    SendOutcome.UNREACHABLE: relay_pb2.SEND_OUTCOME_UNREACHABLE,
    SendOutcome.DECLINED: relay_pb2.SEND_OUTCOME_DECLINED,
    SendOutcome.NOT_SENT: relay_pb2.SEND_OUTCOME_NOT_SENT,
    SendOutcome.LOST: relay_pb2.SEND_OUTCOME_LOST,
    SendOutcome.PEER_LOST: relay_pb2.SEND_OUTCOME_PEER_LOST,
    SendOutcome.OVER_BUDGET: relay_pb2.SEND_OUTCOME_OVER_BUDGET,
    SendOutcome.UNWANTED: relay_pb2.SEND_OUTCOME_UNWANTED,
    SendOutcome.SUSPECTED: relay_pb2.SEND_OUTCOME_SUSPECTED,
    SendOutcome.NO_PATH: relay_pb2.SEND_OUTCOME_NO_PATH,
}
_OUTCOMES: Final[Mapping[int, SendOutcome]] = {
    number: outcome for outcome, number in _VALUES.items()
}


def encode_outcome(outcome: SendOutcome) -> 'relay_pb2.SendOutcome.ValueType':
    """Return the wire value of an outcome."""
    return _VALUES[outcome]


def decode_outcome(number: int) -> SendOutcome:
    """Return the outcome of a wire value.

    An unknown value of a later version is LOST: the request may have run.
    """
    return _OUTCOMES.get(number, SendOutcome.LOST)
