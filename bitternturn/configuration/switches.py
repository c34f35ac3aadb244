"""Edits of one switch, and what changed between two sets of switches."""

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
    """What a switch takes out or in; also the field that holds it."""

    FAILURE_DOMAIN = 'failure_domains'
    TARGET = 'targets'


@dataclass(kw_only=True, frozen=True, slots=True)
class SwitchEdit:
    """One failure domain or target to take out or in."""

    scope: SwitchScope
    name: str
    out: bool
    reason: str


@dataclass(kw_only=True, frozen=True, slots=True)
class SwitchChange:
    """One failure domain or target that went out or came in."""

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
    """Set the switch of a name, adding it when it is missing."""
    state = SWITCH_STATE_OUT if edit.out else SWITCH_STATE_IN
    listed = switches_of(switches, edit.scope)
    wanted = Switch(name=edit.name, state=state, reason=edit.reason)
    for switch in listed:
        if switch.name == edit.name:
            switch.CopyFrom(wanted)
            return
    if edit.scope is SwitchScope.FAILURE_DOMAIN:
        switches.failure_domains.append(wanted)
    else:
        switches.targets.append(wanted)


def switches_of(switches: Switches, scope: SwitchScope) -> Iterable[Switch]:
    """Return the switches of one scope."""
    if scope is SwitchScope.FAILURE_DOMAIN:
        return switches.failure_domains
    return switches.targets


def find_changes(before: Switches, after: Switches) -> Iterator[SwitchChange]:
    """Yield what went out or came in between two sets of switches."""
    for scope in SwitchScope:
        old = _reasons_out(before, scope)
        new = _reasons_out(after, scope)
        for name in sorted(new.keys() - old.keys()):
            yield SwitchChange(
                scope=scope,
                name=name,
                out=True,
                reason=new[name],
            )
        for name in sorted(old.keys() - new.keys()):
            yield SwitchChange(scope=scope, name=name, out=False)


def announce_changes(state: ConfigurationState, event: EventSink) -> None:
    """Emit an event for each version in force and each switch that changed."""
    before = Switches()

    def announce(kind: ConfigurationKind) -> None:
        """Emit the events of one kind."""
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

    state.subscribe(announce)


def _reasons_out(switches: Switches, scope: SwitchScope) -> dict[str, str]:
    """Return the reason of each name that is out."""
    return {
        switch.name: switch.reason
        for switch in switches_of(switches, scope)
        if switch.state == SWITCH_STATE_OUT
    }
