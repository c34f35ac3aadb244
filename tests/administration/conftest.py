"""Fixtures: the object API's stand-in."""

from tests.configuration.conftest import api, stack

__all__ = ('api', 'stack')
