"""One state of a scenario: everything that can still matter."""


class StateComponent:
    """A live object with its canonical form; never changed once it stands in a state."""

    __slots__ = ("live", "key")

    def __init__(self, live, key):
        self.live = live
        self.key = key


class State:
    """Everything that can still matter. Copied shallowly; a step puts new parts in place of those it changes."""

    __slots__ = (
        "nodes",
        "writers",
        "pool",
        "begun",
        "latest",
        "left",
        "longest",
        "latest_chosen",
        "budget",
        "gathered",
        "waits",
    )

    def copy(self):
        new = State()
        new.nodes = dict(self.nodes)
        new.writers = dict(self.writers)
        new.pool = self.pool
        new.begun = dict(self.begun)
        new.latest = dict(self.latest)
        new.left = dict(self.left)
        new.longest = self.longest
        new.latest_chosen = self.latest_chosen
        new.budget = dict(self.budget)
        new.gathered = dict(self.gathered)
        new.waits = dict(self.waits)
        return new

    def key(self) -> tuple:
        """The first five have the same keys in the same order in each state of a scenario."""
        return (
            tuple([part.key for part in self.nodes.values()]),
            tuple([part.key for part in self.writers.values()]),
            tuple(self.latest.values()),
            tuple(self.left.values()),
            tuple(self.budget.values()),
            self.pool,
            self.longest,
            self.latest_chosen,
            tuple(sorted(self.begun.items())),
            tuple(sorted((name, part.key) for name, part in self.gathered.items())),
            tuple(sorted(self.waits.items())),
        )
