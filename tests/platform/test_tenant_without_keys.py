"""Tests of a rule of the page on tenants."""

import pytest

from bitternturn.core.errors import BitternturnError
from bitternturn.platform.documents import decode_configuration
from tests.platform.documents import configuration_document


@pytest.mark.parametrize('keys', [{}, {'api-keys': []}])
def test_tenant_without_keys_is_invalid(keys):
    """Guards against a tenant without keys, as with a misspelt `api-keys`.

    Part 4 of docs/design/overview.md lists it as an invalid configuration, of
    which the last valid version stays in effect. It is accepted.
    """
    document = configuration_document(tenants=[{'name': 'blue', **keys}])
    with pytest.raises(BitternturnError):
        decode_configuration(document)
