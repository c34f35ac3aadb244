"""Command `target`: lists and switches targets."""

from collections.abc import Iterator
from dataclasses import asdict, dataclass

from bitternturn.administration.models import TargetStatus
from bitternturn.cli.client import OperatorClient
from bitternturn.cli.domain import define_reason
from bitternturn.cli.edits import create_switch_action
from bitternturn.cli.models import Action, Command, Invocation
from bitternturn.cli.output import print_json, print_table
from bitternturn.schema.config_pb2 import (
    SWITCH_STATE_OUT,
    Indexes,
    Switches,
)


@dataclass(kw_only=True, frozen=True, slots=True)
class TargetRow:
    """Row of a target in the list; unknown values are empty."""

    name: str
    index: str
    failure_domain: str
    switch: str
    reason: str
    slots: int
    owner: str
    state: str
    in_flight: int
    queued: int


async def _async_list(call: Invocation) -> None:
    """Print all targets."""
    rows = await _async_rows(call.client)
    if call.json:
        print_json([asdict(row) for row in rows])
        return
    headers = [field.replace('_', ' ') for field in TargetRow.__slots__]
    print_table(headers, [tuple(asdict(row).values()) for row in rows])


async def _async_rows(client: OperatorClient) -> list[TargetRow]:
    """Return a row for each target of all indexes."""
    indexes, _ = await client.async_indexes()
    switches = await client.async_switches()
    status = await client.async_status()
    statuses = {target.target: target for target in status.targets}
    return list(_make_rows(indexes, switches, statuses))


def _make_rows(
    indexes: Indexes,
    switches: Switches,
    statuses: dict[str, TargetStatus],
) -> Iterator[TargetRow]:
    """Yield a row per target from its switch and status."""
    out = {
        switch.name: switch.reason
        for switch in switches.targets
        if switch.state == SWITCH_STATE_OUT
    }
    domains_out = {
        switch.name: switch.reason
        for switch in switches.failure_domains
        if switch.state == SWITCH_STATE_OUT
    }
    for index in indexes.indexes:
        for target in index.targets:
            status = statuses.get(target.id, TargetStatus(target=target.id))
            by_domain = target.failure_domain in domains_out
            reason = out.get(
                target.id,
                domains_out.get(target.failure_domain, ''),
            )
            yield TargetRow(
                name=target.id,
                index=index.name,
                failure_domain=target.failure_domain,
                switch='out' if target.id in out or by_domain else 'in',
                reason=reason,
                slots=target.slots,
                owner=status.owner,
                state=status.state,
                in_flight=status.in_flight,
                queued=status.queued,
            )


COMMAND = Command(
    name='target',
    summary='List targets and take them out of service or back in.',
    example='bitternturn target out ledger-3 --reason "bad disk"',
    actions={
        'list': Action(run=_async_list),
        'out': Action(
            run=create_switch_action('targets', 'out'), arguments=('ID',)
        ),
        'in': Action(
            run=create_switch_action('targets', 'in'), arguments=('ID',)
        ),
    },
    define_flags=define_reason,
)
