"""Tests of large configurations that are valid."""

import json

from bitternturn.platform.object_messages import decode_spec
from tests.platform.documents import configuration_document


def test_fractions_with_many_digits_are_read():
    """Guards against a size limit that a valid configuration reaches.

    77 / 90 has 16 decimals in JSON. More than 1000 such fractions, as
    `min-coverage` or weights, make the whole configuration unreadable.
    """
    document = configuration_document()
    route = document['routes'][0]
    document['routes'] = [
        {**route, 'name': f'route-{index}', 'prefix': f'/r{index}/'}
        | {'min-coverage': 77 / 90}
        for index in range(1001)
    ]
    spec = json.dumps(document).encode()
    found = decode_spec('config', 'main', spec)
    assert len(found['routes']) == 1001
