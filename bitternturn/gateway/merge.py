"""Merge of the records of several shards."""

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


def merge_answers(
    answers: Sequence[TargetAnswer],
    *,
    record_bytes: int,
    limit: int,
) -> MergeResult:
    """Return the greatest records in descending byte order.

    Duplicates are kept. A peer merges several answers and truncates them to
    the limit. If some of its answers are left out here, records of the others
    may be missing below the lowest record that the peer sent. All answers of
    the peer are left out if the result would extend below that record.
    """
    records = _collect_records(answers, record_bytes)
    records.sort(reverse=True)
    records = records[:limit]
    for source, kept in _incomplete_batches(answers):
        floor = source.records[-1] if source.records else b''
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
        if answer.merged is not None and answer.merged.truncated:
            entry = kept.setdefault(id(answer.merged), (answer.merged, []))
            entry[1].append(answer)
    return [
        (source, parts)
        for source, parts in kept.values()
        if len(parts) < source.answer_count
    ]
