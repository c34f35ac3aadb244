"""Tests of large or odd objects that operators write, as were read before."""

import json

import pytest

from tests.platform.documents import configuration_document
from tests.platform.test_unreadable_objects import Follower


def make_item(name, spec):
    return b'{"meta":{"name":"%b","revision":3},"spec":%b}' % (name, spec)


async def test_domain_is_out_of_service_whatever_the_content():
    """Guards against an evacuation that is ignored.

    Only the name of such an object is used. With a content above 16 KiB it was
    read before the objects were decoded one by one.
    """
    fleet = Follower()
    note = json.dumps({'note': 'x' * 17_000}).encode()
    await fleet.async_list('evacuations', [make_item(b'north', note)], 5)
    assert fleet.gateway.fleet_state.domains_out == {'north'}


@pytest.mark.parametrize(
    'value', [b'1e999', b'[' * 2000 + b']' * 2000], ids=['number', 'depth']
)
async def test_field_that_is_not_used_does_not_hide_a_configuration(value):
    """Guards against a configuration that earlier builds apply.

    While builds are mixed, the others route by it and this one does not.
    """
    fleet = Follower()
    spec = json.dumps(configuration_document(9)).encode()
    spec = spec[:-1] + b',"note":' + value + b'}'
    await fleet.async_list('config', [make_item(b'main', spec)], 5)
    assert fleet.gateway.version == 9
