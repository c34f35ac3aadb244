"""Decoders for the tenants in the configuration."""

from collections.abc import Sequence
from typing import Final

import msgspec

from bitternturn.core.errors import BitternturnError, ErrorCode
from bitternturn.gateway.models import Tenant
from bitternturn.gateway.tenants import MAX_API_KEY_BYTES

# Greatest rate and burst of a tenant that are believed, in requests: many times
# what a system of hundreds of instances serves. A greater number is a mistake.
MAX_TENANT_REQUESTS: Final = 1e9
# Greatest priority that is believed.
MAX_TENANT_PRIORITY: Final = 1_000_000
# Maximum length of the name of a tenant, which is sent in a header.
MAX_TENANT_NAME_LENGTH: Final = 256
STEP_DECODE: Final = 'decode configuration'


class WireTenant(msgspec.Struct, rename='kebab'):
    """One tenant."""

    name: str
    # A tenant whose keys have all been taken away has none.
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0
    burst: float = 0


def decode_tenants(tenants: Sequence[WireTenant]) -> tuple[Tenant, ...]:
    """Convert the tenants; raises BitternturnError with the path of an error.

    The error contains no key.
    """
    path_by_name: dict[str, str] = {}
    owner_by_key: dict[str, str] = {}
    for index, fields in enumerate(tenants):
        path = f'$.tenants[{index}]'
        _check_tenant(path, fields)
        name_path = f'{path}.name'
        if path_by_name.setdefault(fields.name, name_path) != name_path:
            raise _invalid_tenant(
                name_path, f'same as {path_by_name[fields.name]}'
            )
        for position, key in enumerate(fields.api_keys):
            key_path = f'{path}.api-keys[{position}]'
            _check_api_key(key_path, key)
            owner = owner_by_key.setdefault(key, path)
            if owner != path:
                raise _invalid_tenant(key_path, f'also a key of {owner}')
    return tuple(
        Tenant(
            name=fields.name,
            api_keys=tuple(key.encode() for key in fields.api_keys),
            priority=fields.priority,
            rate_per_s=fields.rate_per_s,
            burst=fields.burst,
        )
        for fields in tenants
    )


def _check_tenant(path: str, fields: WireTenant) -> None:
    """Check the fields of one tenant; raises BitternturnError."""
    printable = fields.name.isascii() and fields.name.isprintable()
    trimmed = fields.name.strip() == fields.name
    if not (printable and trimmed):
        raise _invalid_tenant(f'{path}.name', 'not printable ASCII')
    if not 0 < len(fields.name) <= MAX_TENANT_NAME_LENGTH:
        raise _invalid_tenant(f'{path}.name', 'empty or too long')
    if not 0 <= (fields.priority or 0) <= MAX_TENANT_PRIORITY:
        raise _invalid_tenant(f'{path}.priority', 'out of range')
    if not 0 <= fields.rate_per_s <= MAX_TENANT_REQUESTS:
        raise _invalid_tenant(f'{path}.rate-per-s', 'out of range')
    if not 0 <= fields.burst <= MAX_TENANT_REQUESTS:
        raise _invalid_tenant(f'{path}.burst', 'out of range')


def _check_api_key(path: str, key: str) -> None:
    """Check that a key can be sent in a header; raises BitternturnError."""
    if not 0 < len(key) <= MAX_API_KEY_BYTES:
        raise _invalid_tenant(path, 'empty or too long')
    if not (key.isascii() and key.isprintable()) or key.strip() != key:
        raise _invalid_tenant(path, 'not printable ASCII')


def _invalid_tenant(path: str, problem: str) -> BitternturnError:
    """Return the error for an invalid field of a tenant."""
    return BitternturnError(
        f'Invalid tenant: {problem} - at `{path}`',
        code=ErrorCode.INVALID_CONFIGURATION,
        step=STEP_DECODE,
    )
