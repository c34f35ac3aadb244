"""Tests of route matching and traffic splits."""

import pytest

from bitternturn.gateway.models import WeightedService
from bitternturn.gateway.routes import RouteTable, WeightedRoundRobin
from tests.gateway.helpers import make_route

TABLE = RouteTable(
    routes=[
        make_route(name='short', prefix='/a/'),
        make_route(name='long', prefix='/a/b/'),
        make_route(name='root', host='other.example', prefix='/'),
        make_route(name='address', host='[::1]', prefix='/'),
    ]
)


class TestMatch:
    @pytest.mark.parametrize(
        ('host', 'path', 'name'),
        [
            ('search.example', '/a/x', 'short'),
            ('search.example', '/a/b/x', 'long'),
            ('search.example', '/a/b/', 'long'),
            ('search.example', '/a/b', 'short'),
            ('Search.Example:80', '/a/', 'short'),
            ('search.example', '/a', None),
            ('search.example', '/', None),
            ('other.example', '/any', 'root'),
            ('third.example', '/a/', None),
            ('[::1]', '/a', 'address'),
            ('[::1]:8080', '/a', 'address'),
        ],
    )
    def test_longest_prefix_wins(self, host, path, name):
        route = TABLE.match(host, path)
        assert (route and route.name) == name


class TestSplit:
    def test_shares_follow_weights_over_short_runs(self):
        route = make_route(
            services=(
                WeightedService(service='x', weight=7),
                WeightedService(service='y', weight=3),
                WeightedService(service='z', weight=0),
            )
        )
        round_robin = WeightedRoundRobin()
        taken = [round_robin.next_service(route) for _ in range(100)]
        assert taken.count('x') == 70
        assert 2 <= taken[:10].count('y') <= 4
        assert 'z' not in taken
