"""Tests of the record of the request ids that a connection has carried."""

from bitternturn.http.carried_ids import MAX_CARRIED, CarriedIds

# Other ids that a full filter may exclude: twice the expected 0.24 % of 10,000.
MAX_EXCLUDED = 48


class TestCarriedIds:
    def test_no_id_is_carried_twice(self):
        """Guards against ids that are forgotten as the filter fills up."""
        carried = CarriedIds()
        for number in range(MAX_CARRIED):
            carried.add(f'q{number}')
            assert not any(
                carried.allows(f'q{earlier}')
                for earlier in range(0, number + 1, 64)
            )
            assert not carried.allows(f'q{number}')

    def test_other_ids_are_rarely_excluded(self):
        """Each exclusion costs a new connection."""
        carried = CarriedIds()
        for number in range(MAX_CARRIED - 1):
            carried.add(f'q{number}')
        excluded = sum(not carried.allows(f'r{it}') for it in range(10_000))
        assert excluded <= MAX_EXCLUDED

    def test_connection_retires_when_the_filter_is_full(self):
        carried = CarriedIds()
        for number in range(MAX_CARRIED):
            assert not carried.retired
            carried.add(f'q{number}')
        assert carried.retired
        assert not carried.allows('other')

    def test_request_without_id_has_its_own_connection(self):
        carried = CarriedIds()
        assert carried.allows('')
        carried.add('q')
        assert not carried.allows('')
        alone = CarriedIds()
        alone.add('')
        assert not alone.allows('q')
        assert alone.retired
