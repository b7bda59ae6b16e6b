"""Exhaustive exploration of the interleavings of `migration_small_world`, and random walks through them."""

import pickle
from random import Random

from migration_small_world import ExploredWorld

from lichenquay.migration.coordinator import Coordinator


def describe_failure(error, path):
    """Returns (description, actions that lead to the failure)."""
    return f"{type(error).__name__}: {error}", path


def explore(make_coordinator=Coordinator, max_states=10**9, quiesce_every=20, **budget):
    """Visits all reachable states, up to `max_states`.

    From every `quiesce_every`th state the world must also reach a quiescent state without further faults.
    Returns {'states', 'complete', 'quiesced', 'failure': (description, actions) or None}.
    """
    first = ExploredWorld(make_coordinator, **budget)
    stack = [(pickle.dumps(first), ())]
    seen = {first.fingerprint()}
    quiesced = 0
    while stack and len(seen) < max_states:
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
                if len(seen) % quiesce_every == 0:
                    quiesced += 1
                    world.run_until_quiescent()
            except Exception as error:
                failure = describe_failure(error, (*path, action))
                return {"states": len(seen), "complete": False, "quiesced": quiesced, "failure": failure}
    return {"states": len(seen), "complete": not stack, "quiesced": quiesced, "failure": None}


def random_walks(make_coordinator=Coordinator, seeds=range(100), steps=40, **budget):
    """Takes random walks, each until quiescence; returns (actions taken, first failure or None)."""
    action_count = 0
    for seed in seeds:
        random = Random(seed)
        path = ()
        try:
            world = ExploredWorld(make_coordinator, **budget)
            for _ in range(steps):
                actions = list(world.actions())
                if not actions:
                    break
                # The kind is drawn first; otherwise the many losses and crashes would crowd out all else.
                kind = random.choice(sorted({action[0] for action in actions}))
                path = *path, random.choice([action for action in actions if action[0] == kind])
                world.act(path[-1])
                action_count += 1
            world.run_until_quiescent()
        except Exception as error:
            return action_count, describe_failure(error, path)
    return action_count, None
