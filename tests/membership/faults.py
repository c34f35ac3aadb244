"""Random steps and faults of a world."""


def random_walk(world, rounds):
    """Run members under random faults; raises Overlap when it finds one."""
    rng = world.rng
    for _ in range(rng.randint(2, 5)):
        world.join(world.birth())
        world.deliver_all()
    for _ in range(20):
        world.fair_round()
    for _ in range(rounds):
        if rng.random() < 0.15:
            fault(world, rng)
        if rng.random() < 0.15 and world.ready():
            edit_step(world, rng.choice(world.ready()), rng)
        if rng.random() < 0.3:
            frozen_rounds(world, rng)
        loose_round(world, rng)


def frozen_rounds(world, rng):
    """Let some members run without faults while the others stand still."""
    frozen = {name for name in world.nodes if rng.random() < 0.4}
    for _ in range(rng.choice((1, 2, 5, 12))):
        world.fair_round(frozen)


def loose_round(world, rng):
    """Let some members act and some messages arrive, in any order."""
    world.seconds += rng.choice((0, 0.01, 0.05, 0.2, 0.4, 1))
    world.check()
    steps = rng.randint(1, 12)
    for _ in range(steps):
        ready = world.ready()
        if ready:
            node_step(world, rng.choice(ready), rng)
        for _ in range(rng.randint(0, 3)):
            if world.flights:
                world.land(rng.randrange(len(world.flights)))
        world.check()


def node_step(world, node, rng):
    other = rng.choice(list(world.nodes.values()))
    stall = rng.random() < 0.03
    roll = rng.random()
    if roll < 0.2:
        world.begin_read(node, stall)
    elif roll < 0.5:
        world.probe(node, other)
    elif roll < 0.6:
        world.send_view(node, other)
    elif roll < 0.85:
        world.tick(node, stall)
    else:
        world.release(node)


def edit_step(world, node, rng):
    listed = {member.incarnation for member in world.view.members}
    other = rng.choice(list(world.nodes.values()))
    stall = rng.random() < 0.1
    if node.member.incarnation not in listed:
        if world.has_been_listed(node):
            node = world.restart(node)
        world.join(node)
    elif rng.random() < 0.2:
        world.leave(node)
    elif rng.random() < 0.5:
        world.remove(node, other, stall)
    elif len(world.nodes) < 7:
        world.join(world.birth())


def fault(world, rng):
    """Begin or end a fault."""
    alive = world.alive()
    roll = rng.random()
    if not alive:
        world.birth()
        return
    node = rng.choice(alive)
    if roll < 0.15:
        world.store_down = not world.store_down
    elif roll < 0.35:
        world.store_cut ^= {node.name}
    elif roll < 0.45:
        other = rng.choice(list(world.nodes.values()))
        world.cuts ^= {frozenset((node.name, other.name))}
    elif roll < 0.5:
        cut_off(world, [node])
    elif roll < 0.55:
        domain = node.member.failure_domain
        cut_off(world, [n for n in alive if n.member.failure_domain == domain])
    elif roll < 0.7:
        world.heal()
    elif roll < 0.75:
        world.crash(node)
    elif roll < 0.8:
        world.restart(node)
    elif roll < 0.82:
        for old in alive[::2]:
            world.restart(old)
    elif roll < 0.9:
        world.flights = rng.sample(world.flights, len(world.flights) // 2)
    else:
        for stalled in alive:
            world.resume(stalled)


def cut_off(world, inside):
    """Cut some members off from the others."""
    names = {node.name for node in inside}
    for name in names:
        for other in world.nodes.keys() - names:
            world.cuts.add(frozenset((name, other)))
