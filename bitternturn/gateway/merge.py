"""Merge of the records of several shards."""

import heapq
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from bitternturn.gateway.models import MergedRecords, TargetAnswer


@dataclass(kw_only=True, frozen=True, slots=True)
class MergeResult:
    """Answers that were merged and the concatenated records."""

    answers: Sequence[TargetAnswer]
    body: bytes


def split_records(body: bytes, record_bytes: int) -> list[bytes]:
    """Split a part's body into records; a shorter remainder is ignored."""
    last = len(body) - record_bytes + 1
    return [
        body[start : start + record_bytes]
        for start in range(0, last, record_bytes)
    ]


class RecordSelection:
    """Selects the records that a peer reports for one request.

    With `cumulative`, records are left out that are lower than the highest
    `limit` of all reports so far: most records of a part that is reported after
    the others.
    """

    __slots__ = ('cumulative', 'highest', 'limit')

    def __init__(self, *, limit: int, cumulative: bool) -> None:
        """Initialise before the first report."""
        self.limit = limit
        self.cumulative = cumulative
        # Highest records of all reports, in descending order.
        self.highest: list[bytes] = []

    def select(
        self, records: Iterable[tuple[bytes, int]]
    ) -> list[tuple[bytes, int]]:
        """Return the records to report, in descending order.

        Each record comes with the index of the answer that it is from.
        """
        selected = heapq.nlargest(self.limit, records)
        if not self.cumulative:
            return selected
        if len(self.highest) == self.limit and self.limit:
            floor = self.highest[-1]
            selected = [pair for pair in selected if pair[0] > floor]
        self.highest = heapq.nlargest(
            self.limit, [*self.highest, *(record for record, _ in selected)]
        )
        return selected


def merge_answers(
    answers: Sequence[TargetAnswer],
    *,
    record_bytes: int,
    limit: int,
) -> MergeResult:
    """Return the greatest records in descending byte order.

    Duplicates are kept. A peer merges several answers and truncates them to
    the limit. If some of its answers are left out here, records of the others
    may be missing below a floor. All answers of the peer are left out if the
    result would extend below it.
    """
    records = _collect_records(answers, record_bytes)
    records.sort(reverse=True)
    records = records[:limit]
    for source, kept in _incomplete_batches(answers):
        floor = source.floor or b''
        if len(records) < limit or records[-1] < floor:
            return merge_answers(
                [answer for answer in answers if answer not in kept],
                record_bytes=record_bytes,
                limit=limit,
            )
    return MergeResult(answers=answers, body=b''.join(records))


def _collect_records(
    answers: Iterable[TargetAnswer],
    record_bytes: int,
) -> list[bytes]:
    """Return the records of all answers."""
    found: list[bytes] = []
    for answer in answers:
        if answer.merged is None:
            found.extend(split_records(answer.body, record_bytes))
        else:
            found.extend(answer.merged.answer_records(answer.answer_index))
    return found


def _incomplete_batches(
    answers: Iterable[TargetAnswer],
) -> list[tuple[MergedRecords, list[TargetAnswer]]]:
    """Return truncated records of peers of which some answers are missing.

    Each comes with those of its answers that are present.
    """
    kept: dict[int, tuple[MergedRecords, list[TargetAnswer]]] = {}
    for answer in answers:
        if answer.merged is not None and answer.merged.floor is not None:
            entry = kept.setdefault(id(answer.merged), (answer.merged, []))
            entry[1].append(answer)
    return [
        (source, parts)
        for source, parts in kept.values()
        if len(parts) < source.answer_count
    ]
