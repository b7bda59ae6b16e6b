"""A terminal of `migration_world`: it knows its session's id, where it was told to ask, and its query."""

from migration_group import must


class Client:
    """One terminal: a query at a time, asked for until it has ended, wherever its session is told to be."""

    def __init__(self, world, name, replica_group, pause=120):
        self.world, self.name, self.replica_group, self.pause = world, name, replica_group, pause
        self.tenant, self.id, self.ref, self.count, self.quiet, self.last = (
            name[0],
            None,
            None,
            0,
            False,
            None,
        )
        self.order, self.taken, self.mutating, self.failed, self.ended, self.attached = (
            0,
            False,
            False,
            0,
            0,
            0,
        )
        world.clients.append(self)
        world.at(world.random.uniform(1, pause), self.act)

    def act(self):
        w = self.world
        w.at(w.random.uniform(self.pause / 2, self.pause), self.act)
        holder = w.groups[self.replica_group].holder
        process = w.processes[holder[0]] if holder else None
        if process is None or not process.up or self.replica_group not in process.coordinators:
            return
        process.call(
            lambda now_ms: self.ask(
                now_ms, process, process.coordinators.get(self.replica_group), self.replica_group
            )
        )

    def ask(self, now_ms, process, coordinator, replica_group):
        w = self.world
        if coordinator is None:
            return
        if self.id is None:
            coordinator.open(now_ms, self.tenant, self.name, self.opened)
            return
        if self.ref is None:
            if self.quiet:
                return
            self.count += 1
            self.ref, self.mutating, self.taken = f"{self.name}.{self.count}", w.random.random() < 0.5, False
        engine = w.random.choice(["e1", "e2"])
        ref = self.ref

        def done(at_ms, answer):
            self.answered(at_ms, process, coordinator, replica_group, ref, answer)

        # Again by the same ref, as one who got no answer: attached to where it was taken.
        coordinator.take(now_ms, self.tenant, self.id, ref, self.mutating, engine, 5000, done)

    def opened(self, now_ms, answer):
        if answer.word == "go":
            self.id = answer.id

    def answered(self, now_ms, process, coordinator, replica_group, ref, answer):
        w, self.last = self.world, answer
        if answer.word == "go":
            w.go(process, replica_group, self.tenant, self.id, ref, self.mutating)
        elif ref != self.ref:
            return
        elif answer.word in ("moved", "unknown"):
            self.replica_group = answer.replica_group or self.replica_group
        elif answer.word == "ended":
            self.failed += answer.outcome == "failed"
            self.ended += 1
            self.ref = None
            if answer.outcome == "done" and self.mutating:
                self.order += 1
                coordinator.pin(now_ms, self.tenant, self.id, answer.engine or "e1", self.order)
        elif answer.word == "attach":
            self.attached += 1
            must(answer.mutating == self.mutating, "another query's run")
            if ref not in w.runs:
                coordinator.again(
                    now_ms,
                    self.tenant,
                    self.id,
                    ref,
                    "e1",
                    5000,
                    lambda at, a: (
                        self.answered(at, process, coordinator, replica_group, ref, a)
                        if a.word != "attach"
                        else None
                    ),
                )
            elif w.now >= w.runs[ref]:
                coordinator.ended(now_ms, self.tenant, self.id, ref, "done")
        else:
            must(answer.word in ("wait", "lost", "full"), f"{self.name}: {answer}")
