"""Random steps and faults of a simulation."""


def random_walk(simulation, rounds):
    """Run members under random faults; raise OverlapError on overlap."""
    rng = simulation.rng
    for _ in range(rng.randint(2, 5)):
        simulation.join(simulation.add_instance())
        simulation.deliver_all()
    for _ in range(20):
        simulation.fair_round()
    for _ in range(rounds):
        if rng.random() < 0.15:
            fault(simulation, rng)
        if rng.random() < 0.15 and simulation.ready():
            edit_step(simulation, rng.choice(simulation.ready()), rng)
        if rng.random() < 0.3:
            frozen_rounds(simulation, rng)
        random_round(simulation, rng)


def frozen_rounds(simulation, rng):
    """Run some members without faults while the others are frozen."""
    frozen = {name for name in simulation.instances if rng.random() < 0.4}
    for _ in range(rng.choice((1, 2, 5, 12))):
        simulation.fair_round(frozen)


def random_round(simulation, rng):
    """Run some steps and deliver some messages, in random order."""
    simulation.now_s += rng.choice((0, 0.01, 0.05, 0.2, 0.4, 1))
    simulation.check()
    steps = rng.randint(1, 12)
    for _ in range(steps):
        ready = simulation.ready()
        if ready:
            instance_step(simulation, rng.choice(ready), rng)
        for _ in range(rng.randint(0, 3)):
            if simulation.messages:
                simulation.deliver(rng.randrange(len(simulation.messages)))
        simulation.check()


def instance_step(simulation, instance, rng):
    other = rng.choice(list(simulation.instances.values()))
    stall = rng.random() < 0.03
    roll = rng.random()
    if roll < 0.2:
        simulation.begin_read(instance, stall)
    elif roll < 0.5:
        simulation.probe(instance, other)
    elif roll < 0.6:
        simulation.send_view(instance, other)
    elif roll < 0.85:
        simulation.tick(instance, stall)
    else:
        simulation.release(instance)


def edit_step(simulation, instance, rng):
    listed = {member.incarnation for member in simulation.view.members}
    other = rng.choice(list(simulation.instances.values()))
    stall = rng.random() < 0.1
    if instance.member.incarnation not in listed:
        if simulation.has_been_listed(instance):
            instance = simulation.restart(instance)
        simulation.join(instance)
    elif rng.random() < 0.2:
        simulation.leave(instance)
    elif rng.random() < 0.5:
        simulation.remove(instance, other, stall)
    elif len(simulation.instances) < 7:
        simulation.join(simulation.add_instance())


def fault(simulation, rng):
    """Start or end a random fault."""
    alive = simulation.alive()
    roll = rng.random()
    if not alive:
        simulation.add_instance()
        return
    instance = rng.choice(alive)
    if roll < 0.15:
        simulation.store_down = not simulation.store_down
    elif roll < 0.35:
        simulation.store_cut ^= {instance.name}
    elif roll < 0.45:
        other = rng.choice(list(simulation.instances.values()))
        simulation.cuts ^= {frozenset((instance.name, other.name))}
    elif roll < 0.5:
        cut_off(simulation, [instance])
    elif roll < 0.55:
        domain = instance.member.failure_domain
        cut_off(
            simulation, [n for n in alive if n.member.failure_domain == domain]
        )
    elif roll < 0.7:
        simulation.heal()
    elif roll < 0.75:
        simulation.crash(instance)
    elif roll < 0.8:
        simulation.restart(instance)
    elif roll < 0.82:
        for old in alive[::2]:
            simulation.restart(old)
    elif roll < 0.9:
        simulation.messages = rng.sample(
            simulation.messages, len(simulation.messages) // 2
        )
    else:
        for stalled in alive:
            simulation.resume(stalled)


def cut_off(simulation, inside):
    """Disconnect some members from the others."""
    names = {instance.name for instance in inside}
    for name in names:
        for other in simulation.instances.keys() - names:
            simulation.cuts.add(frozenset((name, other)))
