"""Every interleaving of `migration_small_world`, or random walks through it."""

import pickle
from random import Random

from migration_small_world import ExploredWorld

from lichenquay.migration.coordinator import Coordinator


def failure(error, path):
    """What was found, and the actions that lead to it."""
    return f"{type(error).__name__}: {error}", path


def explore(make_coordinator=Coordinator, most=10**9, rest_every=20, **budget):
    """All that can be reached: {'states', 'whole', 'rests', 'found': (what, actions) or None}."""
    first = ExploredWorld(make_coordinator, **budget)
    stack = [(pickle.dumps(first), ())]
    seen = {first.fingerprint()}
    rests = 0
    while stack and len(seen) < most:
        raw, path = stack.pop()
        for action in list(pickle.loads(raw).actions()):
            world = pickle.loads(raw)
            try:
                world.act(action)
                fingerprint = world.fingerprint()
                if fingerprint in seen:
                    continue
                seen.add(fingerprint)
                stack.append((pickle.dumps(world), (*path, action)))
                if len(seen) % rest_every == 0:
                    rests += 1
                    world.rest()
            except Exception as error:
                found = failure(error, (*path, action))
                return {"states": len(seen), "whole": False, "rests": rests, "found": found}
    return {"states": len(seen), "whole": not stack, "rests": rests, "found": None}


def random_walks(make_coordinator=Coordinator, seeds=range(100), steps=40, **budget):
    """Random walks, each to its rest: (actions done, first found or None)."""
    done = 0
    for seed in seeds:
        random = Random(seed)
        path = ()
        try:
            world = ExploredWorld(make_coordinator, **budget)
            for _ in range(steps):
                actions = list(world.actions())
                if not actions:
                    break
                # The kind is drawn first; otherwise the many ways to lose and to crash would hide all else.
                kind = random.choice(sorted({action[0] for action in actions}))
                path = *path, random.choice([action for action in actions if action[0] == kind])
                world.act(path[-1])
                done += 1
            world.rest()
        except Exception as error:
            return done, failure(error, path)
    return done, None
