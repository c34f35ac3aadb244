"""Size limit and outcome of the answers of targets."""

from bitternturn.gateway import const
from bitternturn.gateway.models import SendOutcome, TargetAnswer
from bitternturn.http import const as http


def max_answer_bytes(max_records: int, record_bytes: int) -> int:
    """Return the limit of an answer's body; 0 records for other routes."""
    if not max_records:
        return const.MAX_ANSWER_BYTES
    return max(
        const.MIN_PART_LIMIT_BYTES,
        max_records * record_bytes * const.MAX_PART_RECORDS_FACTOR,
    )


def classify_answer(answer: TargetAnswer) -> SendOutcome:
    """Return the outcome of a send by the target's answer."""
    if answer.misdirected:
        return SendOutcome.MISDIRECTED
    if answer.not_run:
        return SendOutcome.NOT_RUN
    is_success = http.STATUS_OK <= answer.status < http.STATUS_MULTIPLE_CHOICES
    if is_success and answer.stamp and not answer.encoded:
        return SendOutcome.ANSWERED
    return SendOutcome.FAILED
