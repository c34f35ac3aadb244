"""Builders of platform documents, for stand-ins and tests."""

from collections.abc import Mapping, Sequence


def make_target_document(
    *,
    service: str,
    address: str,
    domain: str,
    **changes: object,
) -> dict[str, object]:
    """Return the document of a ready target."""
    return {
        'service': service,
        'address': address,
        'zone': domain,
        'version': 'v1',
        'max-concurrency': 4,
        'state': 'ready',
        'cold-left-ms': 0,
        'seq': 1,
        'born': 1,
        **changes,
    }


def make_settings_document(
    *,
    name: str,
    domain: str,
    domains: Mapping[str, str],
    listen: Mapping[str, str],
    seeds: Sequence[str],
    bounds: Mapping[str, float],
    store: str,
    **changes: object,
) -> dict[str, object]:
    """Return the settings of a process; `domains` maps domains to regions."""
    return {
        'node-name': name,
        'zone': domain,
        'zones': dict(domains),
        'listen': dict(listen),
        'seed-nodes': list(seeds),
        'bounds': dict(bounds),
        'platform': {'address': store},
        **changes,
    }
