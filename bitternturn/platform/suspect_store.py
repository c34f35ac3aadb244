"""Keeps requests that crash targets in the store, for instances that start.

Guards against a restart of all instances, after which none of them would know
the requests that have already crashed targets.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any, Final

import msgspec

from bitternturn.core.clock import MS_PER_SECOND
from bitternturn.core.errors import BitternturnError
from bitternturn.core.ids import RequestKey, ServiceName, TargetId
from bitternturn.core.tasks import TaskSet
from bitternturn.gateway.crash_suspects import CrashSuspects
from bitternturn.gateway.gateway import Gateway
from bitternturn.platform import wire_names
from bitternturn.platform.documents import UNREADABLE_ERRORS
from bitternturn.platform.object_messages import PlatformObject
from bitternturn.platform.store import PlatformStore
from bitternturn.policy.crash_evidence import CrashEvidence, TargetEnd
from bitternturn.policy.rendezvous import hash_share

# Interval of calls that are repeated until the store answers, at first and at
# most; it doubles with each failure.
MIN_RETRY_S: Final = 0.5
MAX_RETRY_S: Final = 8.0
# Calls after which this instance does without the store.
MAX_ATTEMPTS: Final = 30


class WireEnd(msgspec.Struct, rename='kebab'):
    """End of a target in an object of a suspect."""

    target: str
    started_ms: int
    service: str
    # Unix time in milliseconds.
    at_ms: int


class WireSuspect(msgspec.Struct, rename='kebab'):
    """Object of a request that crashes targets, named by its key."""

    ends: list[WireEnd]


class SuspectStore:
    """Loads suspects at the start and writes those that are found."""

    def __init__(
        self,
        *,
        gateway: Gateway,
        store: PlatformStore,
        tasks: TaskSet,
        wall_ms: Callable[[], int],
    ) -> None:
        """Initialise and register for decisions; `start` loads the suspects."""
        self.gateway = gateway
        self.suspects: CrashSuspects = gateway.crash_suspects
        self.store = store
        self.tasks = tasks
        self.wall_ms = wall_ms
        self.rng = random.Random()
        self.suspects.on_decision = self.handle_decision

    def start(self) -> None:
        """Load the suspects in the background."""
        self.tasks.spawn(self._async_load())

    def handle_decision(self, key: RequestKey, *, deciding: bool) -> None:
        """Write a suspect, or delete one that was cleared.

        `deciding` is whether this instance had the last evidence for it. If all
        have heard of it at the same time, one of them writes it.
        """
        if deciding or self._is_writer(key):
            self.tasks.spawn(self._async_write(key))

    def _is_writer(self, key: RequestKey) -> bool:
        """Return whether this instance writes what all hear at the same time."""
        own_name = self.gateway.settings.name
        names = self.gateway.rate_limits.names
        return own_name == max(names, key=lambda name: hash_share(key, name))

    async def _async_load(self) -> None:
        """Add the suspects in the store to the evidence."""
        found = await self._async_call(
            lambda: self.store.async_list(
                wire_names.KIND_SUSPECTS, allow_stale=True
            )
        )
        if found is not None:
            now = self.gateway.now()
            self.suspects.merge(self._decode(found[0], now), now)

    async def _async_write(self, key: RequestKey) -> None:
        """Write what is known of a request, or delete it if it is cleared."""
        if key in self.suspects.crashing:
            spec = self._encode(self.suspects.evidence[key])
            await self._async_call(
                lambda: self.store.async_write(
                    wire_names.KIND_SUSPECTS, key, spec
                )
            )
        else:
            await self._async_call(
                lambda: self.store.async_remove(wire_names.KIND_SUSPECTS, key)
            )

    async def _async_call(self, call: Callable[[], Any]) -> Any:
        """Repeat a call until it succeeds; return its result, None without."""
        delay_s = MIN_RETRY_S
        for _ in range(MAX_ATTEMPTS):
            try:
                return await call()
            except BitternturnError as error:
                self.gateway.decisions.write(
                    'suspects_not_stored', error=str(error)
                )
            await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1))
            delay_s = min(MAX_RETRY_S, 2 * delay_s)
        return None

    def _encode(self, known: CrashEvidence) -> dict[str, Any]:
        """Return the content of the object of a suspect."""
        now = self.gateway.now()
        ends = [
            WireEnd(
                target=end.life[0],
                started_ms=end.life[1],
                service=end.service,
                at_ms=self.wall_ms() - round((now - end.at) * MS_PER_SECOND),
            )
            for end in known.ends.values()
        ]
        content: dict[str, Any] = msgspec.to_builtins(WireSuspect(ends=ends))
        return content

    def _decode(
        self, objects: Iterable[PlatformObject], now: float
    ) -> dict[RequestKey, CrashEvidence]:
        """Return the evidence in objects; unreadable ones are logged."""
        evidence = {}
        for stored in objects:
            try:
                suspect = msgspec.convert(stored.spec, WireSuspect)
            except UNREADABLE_ERRORS as error:
                self.gateway.decisions.write(
                    'suspect_unread', name=stored.meta.name, error=str(error)
                )
                continue
            known = CrashEvidence()
            for end in suspect.ends:
                age_s = max(0, self.wall_ms() - end.at_ms) / MS_PER_SECOND
                known.add_end(
                    TargetEnd(
                        life=(TargetId(end.target), end.started_ms),
                        service=ServiceName(end.service),
                        at=now - age_s,
                    )
                )
            evidence[RequestKey(stored.meta.name)] = known
        return evidence
