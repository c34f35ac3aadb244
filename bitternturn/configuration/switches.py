"""Edits of switches, and differences between two sets of switches."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, unique
from typing import Final

from bitternturn.configuration.models import ConfigurationKind
from bitternturn.configuration.state import ConfigurationState
from bitternturn.schema.config_pb2 import (
    SWITCH_STATE_IN,
    SWITCH_STATE_OUT,
    Switch,
    Switches,
)
from bitternturn.timeline.models import EventKind, EventSink


@unique
class SwitchScope(Enum):
    """What a switch applies to; the values are fields of Switches."""

    FAILURE_DOMAIN = 'failure_domains'
    TARGET = 'targets'


@dataclass(kw_only=True, frozen=True, slots=True)
class SwitchEdit:
    """A request to switch a failure domain or target out or in."""

    scope: SwitchScope
    name: str
    out: bool
    reason: str


@dataclass(kw_only=True, frozen=True, slots=True)
class SwitchChange:
    """A failure domain or target that was switched out or in."""

    scope: SwitchScope
    name: str
    out: bool
    reason: str = ''


EVENT_KINDS: Final = {
    (SwitchScope.FAILURE_DOMAIN, True): EventKind.DOMAIN_OUT,
    (SwitchScope.FAILURE_DOMAIN, False): EventKind.DOMAIN_IN,
    (SwitchScope.TARGET, True): EventKind.TARGET_OUT,
    (SwitchScope.TARGET, False): EventKind.TARGET_IN,
}


def apply_switch(switches: Switches, edit: SwitchEdit) -> None:
    """Update the switch of a name, or add it."""
    state = SWITCH_STATE_OUT if edit.out else SWITCH_STATE_IN
    listed = switches_of(switches, edit.scope)
    updated_switch = Switch(name=edit.name, state=state, reason=edit.reason)
    for switch in listed:
        if switch.name == edit.name:
            switch.CopyFrom(updated_switch)
            return
    if edit.scope is SwitchScope.FAILURE_DOMAIN:
        switches.failure_domains.append(updated_switch)
    else:
        switches.targets.append(updated_switch)


def switches_of(switches: Switches, scope: SwitchScope) -> Iterable[Switch]:
    """Return the switches of one scope."""
    if scope is SwitchScope.FAILURE_DOMAIN:
        return switches.failure_domains
    return switches.targets


def find_changes(before: Switches, after: Switches) -> Iterator[SwitchChange]:
    """Yield the switches that differ between two sets of switches."""
    for scope in SwitchScope:
        old = _out_reasons(before, scope)
        new = _out_reasons(after, scope)
        for name in sorted(new.keys() - old.keys()):
            yield SwitchChange(
                scope=scope,
                name=name,
                out=True,
                reason=new[name],
            )
        for name in sorted(old.keys() - new.keys()):
            yield SwitchChange(scope=scope, name=name, out=False)


def emit_change_events(state: ConfigurationState, event: EventSink) -> None:
    """Emit an event for each applied version and each changed switch."""
    before = Switches()

    def emit_events(kind: ConfigurationKind) -> None:
        """Emit the events of an applied version of one kind."""
        accepted = state.objects[kind]
        event(
            EventKind.CONFIGURATION_IN_FORCE,
            detail=f'{kind.value} {accepted.version}',
        )
        if kind is not ConfigurationKind.SWITCHES:
            return
        for change in find_changes(before, accepted.switches):
            event(
                EVENT_KINDS[change.scope, change.out],
                target=change.name
                if change.scope is SwitchScope.TARGET
                else '',
                detail=' '.join(filter(None, (change.name, change.reason))),
            )
        before.CopyFrom(accepted.switches)

    state.subscribe(emit_events)


def _out_reasons(switches: Switches, scope: SwitchScope) -> dict[str, str]:
    """Return the reason of each name that is switched out."""
    return {
        switch.name: switch.reason
        for switch in switches_of(switches, scope)
        if switch.state == SWITCH_STATE_OUT
    }
