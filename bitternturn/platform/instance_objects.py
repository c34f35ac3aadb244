"""Store objects with which our instances register themselves."""

from typing import Any

import msgspec

from bitternturn.core.ids import FailureDomain
from bitternturn.gateway.models import InstanceSettings
from bitternturn.platform.documents import UNREADABLE_ERRORS
from bitternturn.platform.settings_file import read_address
from bitternturn.relay.delegation import MemberEntry


class WireInstance(msgspec.Struct, rename='kebab'):
    """Object of one registered instance; the kind is private to us."""

    domain: str
    # Address for connections of other instances.
    address: str
    cores: float


def decode_instance(name: str, spec: Any) -> MemberEntry | None:
    """Decode the object of an instance; return None if it is invalid."""
    try:
        fields = msgspec.convert(spec, WireInstance)
        address = read_address(fields.address)
    except UNREADABLE_ERRORS:
        return None
    return MemberEntry(
        name=name,
        address=address,
        domain=FailureDomain(fields.domain),
        cores=fields.cores,
    )


def encode_instance(settings: InstanceSettings) -> dict[str, Any]:
    """Encode the object of this instance."""
    address = settings.peers or settings.callers
    return {
        'domain': settings.failure_domain,
        'address': f'{address.host}:{address.port}',
        'cores': settings.cores,
    }
