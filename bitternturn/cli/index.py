"""Command `index`: lists and edits indexes."""

from bitternturn.administration.codec import message_to_json
from bitternturn.cli.edits import async_put_content
from bitternturn.cli.files import read_document
from bitternturn.cli.models import Action, Command, Invocation
from bitternturn.cli.output import print_json, print_table, print_version
from bitternturn.configuration.check import parse_content
from bitternturn.configuration.models import ConfigurationKind
from bitternturn.schema.config_pb2 import Index, Indexes


async def _async_list(call: Invocation) -> None:
    """Print all indexes."""
    indexes, _ = await call.client.async_indexes()
    if call.json:
        print_json(message_to_json(indexes)['indexes'])
        return
    print_table(
        ('name', 'targets', 'shards', 'newest snapshot', 'snapshots'),
        [_index_row(index) for index in indexes.indexes],
    )


async def _async_put(call: Invocation) -> None:
    """Add or replace the index defined in a file."""
    document = read_document(call.arguments[0])
    parsed = parse_content(ConfigurationKind.INDEXES, {'indexes': [document]})
    assert isinstance(parsed, Indexes)
    indexes, version = await call.client.async_indexes()
    others = [
        index
        for index in indexes.indexes
        if index.name != parsed.indexes[0].name
    ]
    accepted = await async_put_content(
        call.client,
        ConfigurationKind.INDEXES,
        Indexes(indexes=[*others, parsed.indexes[0]]),
        version,
    )
    print_version(accepted, as_json=call.json)


def _index_row(index: Index) -> tuple[object, ...]:
    """Return the table row of an index."""
    newest = index.maps[-1]
    return (
        index.name,
        len(index.targets),
        len(newest.shards),
        newest.snapshot,
        len(index.maps),
    )


COMMAND = Command(
    name='index',
    summary='List and edit indexes and their partition maps.',
    example='bitternturn index put ledger.json',
    actions={
        'list': Action(run=_async_list),
        'put': Action(run=_async_put, arguments=('FILE',)),
    },
)
