"""Tests of merging records, some of which peers have merged."""

import random

from hypothesis import given
from hypothesis import strategies as st

from bitternturn.gateway.merge import RecordSelection, merge_answers
from bitternturn.gateway.models import MergedRecords, TargetAnswer

RECORD_BYTES = 2


def answer(body=b'', merged=None, answer_index=0):
    """Return a valid answer."""
    return TargetAnswer(
        status=200,
        stamp='s',
        request_id='q',
        not_run=False,
        misdirected=False,
        leaving=False,
        pause_s=None,
        limit_per_s=None,
        encoded=False,
        idle_timeout_s=None,
        headers={},
        body=body,
        merged=merged,
        answer_index=answer_index,
    )


def merge_at_peer(reports, limit, cumulative):
    """Return the answers of some parts as a peer merges and reports them.

    `reports` holds the bodies of the parts in each report.
    """
    selection = RecordSelection(limit=limit, cumulative=cumulative)
    merged = MergedRecords()
    for bodies in reports:
        first = merged.answer_count
        records = [
            (item, first + place)
            for place, body in enumerate(bodies)
            for item in body
        ]
        kept = selection.select(records)
        merged.answer_count += len(bodies)
        merged.add_report(
            [item for item, _ in kept],
            [answer_index for _, answer_index in kept],
            truncated=len(records) > len(kept),
            limit=limit,
        )
    return [
        answer(merged=merged, answer_index=answer_index)
        for answer_index in range(merged.answer_count)
    ]


PARTS = st.lists(
    st.lists(st.binary(min_size=2, max_size=2), max_size=6),
    min_size=1,
    max_size=5,
)


class TestMerge:
    @given(
        direct=PARTS,
        batches=st.lists(st.lists(PARTS, max_size=3), max_size=3),
        limit=st.integers(1, 8),
        cumulative=st.booleans(),
        seed=st.integers(0, 1000),
    )
    def test_result_is_exact_for_any_subset_of_answers(
        self, direct, batches, limit, cumulative, seed
    ):
        rng = random.Random(seed)
        bodies = {}
        answers = []
        for part in direct:
            one = answer(body=b''.join(part))
            bodies[id(one)] = part
            answers.append(one)
        for batch in batches:
            peer_answers = merge_at_peer(batch, limit, cumulative)
            parts = [part for report in batch for part in report]
            for one, part in zip(peer_answers, parts, strict=True):
                bodies[id(one)] = part
                if rng.random() < 0.7:
                    answers.append(one)
        merge = merge_answers(answers, record_bytes=RECORD_BYTES, limit=limit)
        wanted = sorted(
            (item for one in merge.answers for item in bodies[id(one)]),
            reverse=True,
        )
        assert merge.body == b''.join(wanted[:limit])

    def test_incomplete_record_is_ignored(self):
        merge = merge_answers(
            [answer(body=b'aab')], record_bytes=RECORD_BYTES, limit=9
        )
        assert merge.body == b'aa'


class TestRecordSelection:
    def test_late_part_is_reported_without_lower_records(self):
        """Guards against all records of each part that is reported late."""
        selection = RecordSelection(limit=2, cumulative=True)
        first = selection.select([(b'aa', 0), (b'dd', 0), (b'cc', 1)])
        late = selection.select([(b'bb', 2), (b'ee', 2), (b'cc', 2)])
        assert first == [(b'dd', 0), (b'cc', 1)]
        assert late == [(b'ee', 2)]

    def test_reports_of_an_older_peer_are_complete(self):
        selection = RecordSelection(limit=2, cumulative=False)
        selection.select([(b'dd', 0), (b'cc', 1)])
        assert selection.select([(b'bb', 2)]) == [(b'bb', 2)]
