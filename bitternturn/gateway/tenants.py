"""Tenants of callers' requests, by their API keys."""

import hashlib
import hmac
import secrets
from collections.abc import Iterable
from typing import Final

from bitternturn.gateway.models import (
    CallerRequest,
    RefusalReason,
    Route,
    Tenant,
)

# Longest API key. A longer one in a request is not hashed.
MAX_API_KEY_BYTES: Final = 1024
SECRET_BYTES: Final = 32
# Tenants that metrics name, the first ones that are refused; each name takes
# memory as long as the process runs.
MAX_TENANT_LABELS: Final = 50
OTHER_TENANTS: Final = '(others)'


class TenantLabels:
    """Names of tenants in metrics, whose number is limited."""

    def __init__(self) -> None:
        """Initialise without names."""
        self.names: set[str] = set()

    def find(self, tenant: str) -> str:
        """Return the name of a tenant, or one that stands for all others."""
        if len(self.names) < MAX_TENANT_LABELS:
            self.names.add(tenant)
        return tenant if tenant in self.names else OTHER_TENANTS


class TenantTable:
    """Tenants of one version of the configuration, by API key.

    A key is looked up by a hash with a secret of this process, so that the time
    of a look-up reveals nothing about the keys.
    """

    def __init__(self, *, tenants: Iterable[Tenant] | None = None) -> None:
        """Initialise from the tenants of a configuration.

        Without tenants, requests need no key.
        """
        self.enabled = tenants is not None
        self.secret = secrets.token_bytes(SECRET_BYTES)
        self.by_name = {tenant.name: tenant for tenant in tenants or ()}
        self.by_digest = {
            self._digest(key): (key, tenant)
            for tenant in self.by_name.values()
            for key in tenant.api_keys
        }

    def identify(
        self, caller: CallerRequest, route: Route
    ) -> RefusalReason | None:
        """Set the tenant and priority of a request; return why to refuse it.

        A request that is refused keeps those that it has, as it may have been
        sent under an earlier configuration.
        """
        if route.public or not self.enabled:
            caller.tenant = ''
            caller.priority = route.priority
            return None
        tenant = self._find(caller.api_key or b'')
        if tenant is None:
            return RefusalReason.UNAUTHORIZED
        caller.tenant = tenant.name
        caller.priority = (
            route.priority if tenant.priority is None else tenant.priority
        )
        return None

    def _find(self, api_key: bytes) -> Tenant | None:
        """Return the tenant with a key, None if there is none."""
        if len(api_key) > MAX_API_KEY_BYTES:
            return None
        key, tenant = self.by_digest.get(self._digest(api_key), (b'', None))
        return tenant if hmac.compare_digest(key, api_key) else None

    def _digest(self, api_key: bytes) -> bytes:
        """Return the keyed hash of a key."""
        return hashlib.blake2b(api_key, key=self.secret).digest()
