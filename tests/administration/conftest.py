"""Fixtures of the stand-in of the object API."""

from tests.configuration.conftest import api, stack

__all__ = ('api', 'stack')
