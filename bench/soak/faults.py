"""Faults that the soak test injects in random, overlapping sequence."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from bench.soak.environment import DOMAINS, SoakEnvironment
from bitternturn.platform.wire_names import KIND_INSTANCES
from bitternturn.standins.platform_store import StoreFault
from bitternturn.standins.proxy_faults import (
    blackhole,
    delay_both_directions,
    no_faults,
)

InjectFault = Callable[[SoakEnvironment, float], Awaitable[None]]


async def async_kill_instance(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Kill an instance and start it again."""
    instance = environment.rng.choice(environment.instances)
    if not instance.alive or instance.stop_requested:
        return
    await instance.async_stop(signal.SIGKILL)
    await asyncio.sleep(duration_s / 4)
    await instance.async_start()


async def async_restart_instance(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Shut down an instance gracefully and start it again."""
    instance = environment.rng.choice(environment.instances)
    if not instance.alive or instance.stop_requested:
        return
    await instance.async_stop(signal.SIGTERM)
    await instance.async_start()


async def async_pause_instance(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Suspend the process of an instance for a time."""
    instance = environment.rng.choice(environment.instances)
    instance.begin_epoch()
    instance.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    instance.begin_epoch()
    instance.send_signal(signal.SIGCONT)


async def async_reload_settings(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Make the instances reload their settings.

    Skips a process that has not logged a line yet: while its interpreter is
    still starting, the signal's default action ends it, which happened when
    the signal came 2 to 40 ms after the start.
    """
    for instance in environment.instances:
        if instance.has_logged():
            instance.send_signal(signal.SIGHUP)


async def async_fail_store(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Make the store fail for all instances."""
    fault = environment.rng.choice(
        [it for it in StoreFault if it.value != 'none']
    )
    environment.store.choose_fault = lambda _: fault
    await asyncio.sleep(duration_s)
    environment.store.choose_fault = lambda _: StoreFault.NONE


async def async_disconnect_store(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Disconnect one instance from the store."""
    proxy = environment.rng.choice(environment.store_proxies)
    proxy.set_faults(blackhole())
    await asyncio.sleep(duration_s)
    proxy.set_faults(no_faults())
    proxy.reset_connections()


async def async_drop_store_history(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Make the store discard its history of changes."""
    environment.store.compact_history()


async def async_restore_store(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Let the store come back from a copy; then write again what was lost."""
    store = environment.store
    copied = store.copy_state()
    await asyncio.sleep(duration_s)
    written = {
        key: stored
        for key, stored in store.objects.items()
        if key[0] != KIND_INSTANCES
    }
    store.restore(copied)
    await asyncio.sleep(environment.rng.uniform(0, 1))
    for key, stored in list(store.objects.items()):
        changed = stored.revision > copied.revision
        if key not in written and key[0] != KIND_INSTANCES and not changed:
            store.delete(*key)
    for key, lost in written.items():
        current = store.objects.get(key)
        if current is None or (
            current.spec != lost.spec and current.revision <= copied.revision
        ):
            store.put(*key, lost.spec)


async def async_pause_targets(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Let targets reject a share of the requests and ask for pauses."""
    environment.pausing_share = environment.rng.uniform(0.02, 0.2)
    await asyncio.sleep(duration_s)
    environment.pausing_share = 0.0


async def async_send_crashing_request(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Let callers send a request that crashes each target that runs it."""
    environment.crashing_share = environment.rng.uniform(0.002, 0.02)
    await asyncio.sleep(duration_s)
    environment.crashing_share = 0.0


async def async_limit_targets(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Let targets name rate limits, change them once and lift them."""
    rng = environment.rng
    share = rng.choice((0.2, 0.5, 1.0))
    limited = [
        target.standin
        for target in environment.targets
        if target.state == 'ready' and rng.random() < share
    ]
    for span_s in (rng.uniform(4.5, 8), duration_s):
        for standin in limited:
            standin.rate_limit = f'{rng.uniform(0.5, 12):.1f}'
        await asyncio.sleep(span_s)
    for standin in limited:
        standin.rate_limit = None


async def async_leave_target(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Let a target say in its answers that it leaves, before its entry does."""
    target = environment.rng.choice(environment.targets)
    if target.state != 'ready':
        return
    await environment.async_add_target(target.service, target.domain)
    target.standin.leaving = True
    await asyncio.sleep(duration_s)
    target.state = 'left'
    environment.delete_entry('servers', target.standin.id)


async def async_delay_target(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Delay the traffic of a target."""
    target = environment.rng.choice(environment.targets)
    target.disturb(duration_s)
    target.proxy.set_faults(
        delay_both_directions(environment.rng.uniform(0.05, 0.4))
    )
    await asyncio.sleep(duration_s)
    target.proxy.set_faults(no_faults())


async def async_break_target_connections(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Blackhole or reset the open connections of a target."""
    target = environment.rng.choice(environment.targets)
    target.disturb(0)
    if environment.rng.random() < 0.5:
        target.proxy.blackhole_connections()
    else:
        target.proxy.reset_connections()


async def async_send_faulty_answers(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Make targets send a random share of faulty answers."""
    environment.faulty_share = environment.rng.uniform(0.02, 0.3)
    await asyncio.sleep(duration_s)
    environment.faulty_share = 0.0


async def async_replace_target(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Start a replacement for a target, drain the target and delete it."""
    target = environment.rng.choice(environment.targets)
    if target.state != 'ready':
        return
    await environment.async_add_target(target.service, target.domain)
    target.state = 'draining'
    environment.store.put('servers', target.standin.id, target.to_entry())
    target.draining_since = time.monotonic()
    await asyncio.sleep(duration_s)
    environment.delete_entry('servers', target.standin.id)


async def async_write_configurations(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Write several configuration versions in quick succession."""
    for _ in range(environment.rng.randint(1, 5)):
        environment.put_configuration()
        await asyncio.sleep(0.05)


async def async_take_domain_out(
    environment: SoakEnvironment, duration_s: float
) -> None:
    """Take a failure domain out of service and bring it back."""
    domain = environment.rng.choice(DOMAINS)
    if ('evacuations', domain) in environment.store.objects:
        return
    environment.store.put('evacuations', domain, {})
    await asyncio.sleep(duration_s)
    environment.delete_entry('evacuations', domain)


FAULTS: tuple[InjectFault, ...] = (
    async_kill_instance,
    async_restart_instance,
    async_pause_instance,
    async_reload_settings,
    async_fail_store,
    async_disconnect_store,
    async_drop_store_history,
    async_restore_store,
    async_pause_targets,
    async_send_crashing_request,
    async_limit_targets,
    async_leave_target,
    async_delay_target,
    async_break_target_connections,
    async_send_faulty_answers,
    async_replace_target,
    async_write_configurations,
    async_take_domain_out,
)
