"""How a learner comes by the registers: an emptied member, or a newcomer (docs/register.md 4).

First it looks: enough voters tell their rows. Then it asks them to promise a ballot above all that they told, and to
tell their rows again. After the second answer none of them accepts what this node may have accepted, or have promised
to accept, before its disk was emptied. A request names the values that were told already; answers leave those out.
"""

from ploverward.control_plane.consensus import ballots

LOOK = "look"
FENCE = "fence"
DONE = "done"
FIRST_SET = "\x00first"  # stands for a register's name in the row that tells the first set


def first_set_row(members: tuple) -> tuple:
    """The set in force before any value was chosen, told like a row."""
    return (FIRST_SET, *ballots.NONE, 0, " ".join(members), 0, b"")


def split_first_set(rows: tuple) -> tuple:
    """(first set, the rows of registers)."""
    first_set = next((tuple(row[4].split()) for row in rows if row[0] == FIRST_SET), ())
    return first_set, tuple(row for row in rows if row[0] != FIRST_SET)


class LearnerCatchUp:
    """Pure: answers in; the stage, the ballots to ask for, and the rows once it is done."""

    def __init__(self, *, own: str, registers: tuple):
        self._own = own
        self._registers = registers
        self._number = 0
        self.first_set = ()
        self.start()

    def start(self) -> None:
        """From the beginning, with a number of its own so that older answers are not counted."""
        self._number += 1
        self.stage = LOOK
        self.fences = {}  # register: the ballot to be promised
        self.answers = {}  # member: rows
        self._values = {}  # register: {ballot: (rev, value)} as told since the beginning

    def request(self) -> tuple:
        """Number, and for each register the ballot to be promised and the ballot of the value that is known."""
        rows = []
        for name in sorted({*self._registers, *self._values}):
            known = max(self._values.get(name, ()), default=ballots.NONE)
            rows.append((name, *self.fences.get(name, ballots.NONE), *known))
        return ("refill", self._number, tuple(rows))

    def _with_values(self, rows: tuple) -> tuple:
        merged_rows = []
        for name, promised_n, promised_p, accepted_n, accepted_p, rev, value in rows:
            accepted = (accepted_n, accepted_p)
            reported = self._values.setdefault(name, {})
            if value:
                reported[accepted] = (rev, value)
            else:
                rev, value = reported.get(accepted, (rev, value))
            merged_rows.append((name, promised_n, promised_p, *accepted, rev, value))
        return tuple(merged_rows)

    def handle(self, *, member: str, number: int, first_set: tuple, rows: tuple) -> None:
        """A voter's answer."""
        if number != self._number or self.stage == DONE:
            return
        self.answers[member] = self._with_values(rows)
        self.first_set = first_set or self.first_set
        if not self.has_enough():
            return
        if self.stage == LOOK:
            self._raise_fence()
        else:
            self.stage = DONE

    def _raise_fence(self) -> None:
        highest = dict.fromkeys(self._registers, 0)
        for rows in self.answers.values():
            for row in rows:
                highest[row[0]] = max(highest.get(row[0], 0), row[1], row[3])
        self._number += 1
        self.stage = FENCE
        self.fences = {name: (number + 1, f"{self._own}/refill") for name, number in highest.items()}
        self.answers = {}

    def has_enough(self) -> bool:
        """Whether enough members of each register's newest set answered, as far as any answer shows that set."""
        newest = {}
        for rows in self.answers.values():
            for row in rows:
                if row[6] and (row[3], row[4]) > newest.get(row[0], (ballots.NONE, b""))[0]:
                    newest[row[0]] = ((row[3], row[4]), row[6])
        for name in self._registers:
            sets = ballots.member_sets(newest[name][1]) if name in newest else (self.first_set,)
            if not all(self._has_enough_of(members) for members in sets):
                return False
        return True

    def _has_enough_of(self, members: tuple) -> bool:
        if not members:
            return False
        need = ballots.majority(members)
        if self._own in members:
            need = len(members) - need + 1
        return sum(1 for member in members if member != self._own and member in self.answers) >= need
