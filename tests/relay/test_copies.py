"""Tests of the copies that other instances follow."""

from bitternturn.relay.copies import CopiedObject, KindCopy


def make_object(name, revision=1, spec=b'1'):
    """Return an object of a kind."""
    return CopiedObject(name=name, revision=revision, spec=spec)


def make_copy(*, revision=10):
    """Return a copy of two objects."""
    copy = KindCopy()
    copy.replace([make_object('a'), make_object('b')], revision)
    return copy


def names(told):
    """Return the names of what is told, with deletions marked."""
    return sorted(
        f'-{it.name}' if it.deleted else it.name for it in told.objects
    )


class TestSince:
    def test_nothing_known_gets_the_whole(self):
        told = make_copy().since(0)
        assert told.whole
        assert names(told) == ['a', 'b']

    def test_changes_alone_are_told(self):
        copy = make_copy()
        copy.apply([make_object('c', 12)], 12)
        told = copy.since(10)
        assert not told.whole
        assert names(told) == ['c']

    def test_follower_that_is_ahead_is_told_nothing(self):
        """Followers ask several readers, which lag behind each other."""
        assert make_copy(revision=10).since(11) is None

    def test_revision_of_other_kinds_is_no_change(self):
        copy = make_copy()
        copy.apply([], 15)
        assert copy.since(10) is None

    def test_one_that_missed_forgotten_changes_gets_the_whole(self):
        copy = make_copy(revision=10)
        assert copy.since(9).whole


class TestListedAgain:
    def test_only_differences_are_told(self):
        """Replays a store that forgets its history under many followers."""
        copy = make_copy()
        copy.replace([make_object('a'), make_object('c', 19)], 20)
        told = copy.since(10)
        assert not told.whole
        assert names(told) == ['-b', 'c']
        assert told.at_revision == 20

    def test_same_list_tells_nothing(self):
        copy = make_copy()
        copy.replace([make_object('a'), make_object('b')], 20)
        assert copy.since(10) is None
