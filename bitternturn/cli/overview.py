"""Collects the state of the whole tier and its problems."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from typing import Final

from bitternturn.administration.models import (
    MemberStatus,
    StatusReport,
    TargetStatus,
)
from bitternturn.cli.client import OperatorClient
from bitternturn.cli.profile_metrics import (
    ProfileStatistics,
    parse_profile_metrics,
)
from bitternturn.core.errors import BitternturnError
from bitternturn.schema.config_pb2 import SWITCH_STATE_OUT

READY: Final = 'ready'
# State of a target whose cold start is over.
WARM: Final = 'warm'
KINDS: Final = ('view', 'profiles', 'indexes', 'switches')
MAX_NAMES_SHOWN: Final = 5


@dataclass(kw_only=True, slots=True)
class InstanceStatus:
    """Member of the view and the status and metrics it reported."""

    member: MemberStatus
    report: StatusReport | None = None
    metrics: str = ''
    error: str = ''

    @property
    def state(self) -> str:
        """Readiness of the instance as text."""
        if self.report is None:
            return 'no answer'
        if self.report.draining:
            return 'draining'
        if not self.report.ready:
            return f'not ready: {self.report.why_not_ready}'
        return READY


@dataclass(kw_only=True, slots=True)
class Overview:
    """Combined reports of the queried instance and all members."""

    queried: StatusReport
    instances: list[InstanceStatus]
    domains_out: dict[str, str]
    targets: list[TargetStatus] = field(default_factory=list)
    profiles: dict[str, ProfileStatistics] = field(default_factory=dict)

    @property
    def newest_versions(self) -> dict[str, int]:
        """Highest version of each kind at any instance."""
        reports = [self.queried, *self._iter_reports()]
        return {
            kind: max(getattr(it.versions, kind) for it in reports)
            for kind in KINDS
        }

    def problems(self) -> list[str]:
        """Return one line for each problem of the tier."""
        return [
            *self._queried_problems(),
            *self._instance_problems(),
            *(
                f'failure domain {name} is out{_format_reason(reason)}'
                for name, reason in sorted(self.domains_out.items())
            ),
            *self._target_problems(),
        ]

    def domain_rows(self) -> list[tuple[str, str, int, str]]:
        """Return a row per domain: name, state, instances and targets."""
        instances = Counter(it.member.failure_domain for it in self.instances)
        names = {it.failure_domain for it in self.targets}
        return [
            (
                name,
                'out' if name in self.domains_out else 'in',
                instances[name],
                count_states(
                    it for it in self.targets if it.failure_domain == name
                ),
            )
            for name in sorted({*names, *instances, *self.domains_out})
        ]

    def _iter_reports(self) -> Iterator[StatusReport]:
        """Yield the reports of the instances that answered."""
        for instance in self.instances:
            if instance.report is not None:
                yield instance.report

    def _queried_problems(self) -> Iterator[str]:
        """Yield a problem if the queried instance is not in its view.

        This includes an instance that has no view yet.
        """
        known = {it.member.instance_id for it in self.instances}
        if self.queried.instance_id not in known:
            reason = self.queried.why_not_ready or 'not a member of the view'
            yield f'instance {self.queried.instance_id}: not ready: {reason}'

    def _instance_problems(self) -> Iterator[str]:
        """Yield the problems of instances.

        These are instances that don't answer, are not ready, have an outdated
        version or can't reach the object API.
        """
        newest_versions = self.newest_versions
        for instance in self.instances:
            name = instance.member.instance_id
            if instance.state != READY:
                address = f' at {instance.member.operators}'
                where = address if instance.report is None else ''
                why = f': {instance.error}' if instance.error else ''
                yield f'instance {name}: {instance.state}{where}{why}'
            if instance.report is None:
                continue
            if not instance.report.store_reached:
                yield f'instance {name}: object API not reachable'
            for kind, version in asdict(instance.report.versions).items():
                if version < newest_versions[kind]:
                    yield (
                        f'instance {name}: {kind} at version {version}, '
                        f'newest is {newest_versions[kind]}'
                    )

    def _target_problems(self) -> Iterator[str]:
        """Yield each state other than warm, with some target names."""
        by_state: dict[str, list[str]] = {}
        for target in self.targets:
            if target.failure_domain not in self.domains_out:
                by_state.setdefault(state_of(target), []).append(target.target)
        by_state.pop(WARM, None)
        for state, names in sorted(by_state.items()):
            more = ', ...' if len(names) > MAX_NAMES_SHOWN else ''
            shown = ', '.join(names[:MAX_NAMES_SHOWN])
            yield f'targets {state}: {len(names)} ({shown}{more})'


def state_of(target: TargetStatus) -> str:
    """Return the state of a target, or why it has none."""
    return target.state or ('idle' if target.owner else 'without owner')


def count_states(targets: Iterator[TargetStatus]) -> str:
    """Return the number of targets in each state as text."""
    states = Counter(map(state_of, targets))
    return ', '.join(f'{count} {state}' for state, count in states.items())


async def async_overview(client: OperatorClient) -> Overview:
    """Query one instance, then every member of its view."""
    queried = await client.async_status()
    switches = await client.async_switches()
    instances = await asyncio.gather(
        *(
            _async_read(member, _client_of(member, queried, client))
            for member in queried.members
        ),
    )
    return Overview(
        queried=queried,
        instances=list(instances),
        domains_out={
            switch.name: switch.reason
            for switch in switches.failure_domains
            if switch.state == SWITCH_STATE_OUT
        },
        targets=_merge_targets(queried, instances),
        profiles=parse_profile_metrics(it.metrics for it in instances),
    )


async def _async_read(
    member: MemberStatus,
    client: OperatorClient | None,
) -> InstanceStatus:
    """Query the status and metrics of a member."""
    instance = InstanceStatus(member=member)
    if client is None:
        return instance
    try:
        instance.report = await client.async_status()
        instance.metrics = await client.async_metrics()
    except BitternturnError as error:
        instance.error = str(error)
    return instance


def _client_of(
    member: MemberStatus,
    queried: StatusReport,
    client: OperatorClient,
) -> OperatorClient | None:
    """Return a client of a member; None if it has no address.

    The queried instance keeps its client, whose address may be a tunnel.
    """
    if member.instance_id == queried.instance_id:
        return client
    host, _, port = member.operators.rpartition(':')
    if not port.isdecimal():
        return None
    return OperatorClient(
        host=host,
        port=int(port),
        timeout_s=client.timeout_s,
    )


def _merge_targets(
    queried: StatusReport,
    instances: list[InstanceStatus],
) -> list[TargetStatus]:
    """Return the targets as reported by their owners.

    Targets that no owner reported are those of the queried instance.
    """
    reported = {
        target.target: target
        for instance in instances
        if instance.report is not None
        for target in instance.report.targets
        if target.owner == instance.report.instance_id
    }
    return [reported.get(target.target, target) for target in queried.targets]


def _format_reason(reason: str) -> str:
    """Return a reason in parentheses, if there is one."""
    return f' ({reason})' if reason else ''
