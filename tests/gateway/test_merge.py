"""Tests of merging records, some of which peers have merged."""

import random

from hypothesis import given
from hypothesis import strategies as st

from bitternturn.gateway.merge import merge_answers
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
        encoded=False,
        idle_timeout_s=None,
        headers={},
        body=body,
        merged=merged,
        answer_index=answer_index,
    )


def merge_at_peer(bodies, limit):
    """Return the answers of some parts as a peer merges them."""
    records = sorted(
        (
            (item, answer_index)
            for answer_index, body in enumerate(bodies)
            for item in body
        ),
        reverse=True,
    )
    kept = records[:limit]
    merged = MergedRecords(
        records=[item for item, _ in kept],
        answer_indexes=[answer_index for _, answer_index in kept],
        truncated=len(records) > limit,
        answer_count=len(bodies),
    )
    return [
        answer(merged=merged, answer_index=answer_index)
        for answer_index in range(len(bodies))
    ]


PARTS = st.lists(
    st.lists(st.binary(min_size=2, max_size=2), max_size=6),
    min_size=1,
    max_size=5,
)


class TestMerge:
    @given(
        direct=PARTS,
        batches=st.lists(PARTS, max_size=3),
        limit=st.integers(1, 8),
        seed=st.integers(0, 1000),
    )
    def test_result_is_exact_for_any_subset_of_answers(
        self, direct, batches, limit, seed
    ):
        rng = random.Random(seed)
        bodies = {}
        answers = []
        for part in direct:
            one = answer(body=b''.join(part))
            bodies[id(one)] = part
            answers.append(one)
        for batch in batches:
            peer_answers = merge_at_peer(batch, limit)
            for one, part in zip(peer_answers, batch, strict=True):
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
