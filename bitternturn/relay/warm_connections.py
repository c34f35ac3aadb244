"""Connections to peers that are opened ahead of the requests that need them.

Guards against late first requests: opening a dozen connections takes a weak
instance tens of milliseconds, and each restart makes another first request.
"""

import asyncio

from bitternturn.relay import const
from bitternturn.relay.delegation import Delegation


def open_connections(delegation: Delegation) -> None:
    """Open the connections that the next wide request needs.

    These lead to the peer that gathers for this instance, else to the delegates.
    """
    if delegation.gatherers.connect():
        return
    gateway = delegation.gateway
    now = gateway.now()
    for domain in delegation.members:
        for key in delegation.group_keys.list_keys(gateway.wide_services):
            name = delegation.find_delegate(domain, key, now)
            if name is not None and name != gateway.settings.name:
                delegation.peers[name].greet()


async def async_keep_connected(delegation: Delegation) -> None:
    """Keep these connections open, as peers are replaced."""
    while True:
        open_connections(delegation)
        await asyncio.sleep(const.KEEP_CONNECTED_INTERVAL_S)
