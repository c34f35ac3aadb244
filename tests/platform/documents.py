"""Sample documents of operators, targets and the platform."""

from bitternturn.platform.document_builders import (
    make_settings_document,
    make_target_document,
)


def target_document(**changes):
    """Return the document of a target."""
    fields = {
        'service': 's',
        'address': '127.0.0.1:8080',
        'domain': 'north',
        'max-concurrency': 2,
        'seq': 4,
        'born': 1700000000000,
    }
    return make_target_document(**fields) | changes


def configuration_document(version=7, **changes):
    """Return a configuration with one route of each type."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'all',
                'hostname': 'search.example',
                'path-prefix': '/all/',
                'type': 'idempotent',
                'timeout-ms': 800,
                'target-latency-ms': 145,
                'priority': 1,
                'gather': ['s0', 's1'],
                'attempts': 2,
                'top-k': 5,
                'min-coverage': 0.75,
            },
            {
                'name': 'one',
                'hostname': 'search.example',
                'path-prefix': '/one/',
                'type': 'non_idempotent',
                'timeout-ms': 3000,
                'target-latency-ms': 500,
                'priority': 2,
                'service': 's',
                'attempts': 2,
            },
            {
                'name': 'split',
                'hostname': 'search.example',
                'path-prefix': '/split/',
                'type': 'idempotent',
                'timeout-ms': 3000,
                'target-latency-ms': 500,
                'priority': 2,
                'traffic-split': [
                    {'service': 's', 'weight': 3},
                    {'service': 'u', 'weight': 1},
                ],
                'attempts': 2,
            },
        ],
        'services': [
            {
                'name': 's',
                'health-path': '/health',
                'max-conns': 26,
                'protocol': 'h1',
                'tls': False,
                'warmup-s': 3.0,
                'cold-per-s': 0.0,
            },
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 262144,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        **changes,
    }


def settings_document(**changes):
    """Return the content of a settings file."""
    fields = make_settings_document(
        name='front-north-1',
        domain='north',
        domains={'north': 'r', 'south': 'r'},
        listen={
            'front': '127.0.0.1:8104',
            'ready': '127.0.0.1:8108',
            'control': '127.0.0.1:8106',
        },
        seeds=['127.0.0.1:8106'],
        bounds={
            'retry-ratio': 0.2,
            'retry-window-s': 10,
            'retry-slack': 56,
            'grace-s': 6,
        },
        store='127.0.0.1:8102',
        role='gateway',
        ip='127.0.0.1',
        region='r',
        unknown={'ignored': True},
    )
    fields['platform']['form'] = 'objects'
    return fields | changes
