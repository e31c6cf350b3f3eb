"""The acceptor of the register (design 4). Pure: messages in, messages out, rows to be made safe first."""

from pw.ctl.register import ballots

EMPTY = (ballots.NONE, ballots.NONE, 0, b"")


class Acceptor:
    def __init__(self, *, incarnation: str = "", rows: dict | None = None):
        self.incarnation = incarnation
        self.table = {}  # register: (promised, accepted, rev, value)
        for name, row in (rows or {}).items():
            self.table[name] = ((row[1], row[2]), (row[3], row[4]), row[5], row[6])

    @property
    def votes(self) -> bool:
        return bool(self.incarnation)

    def get(self, name: str) -> tuple:
        return self.table.get(name, EMPTY)

    def row(self, name: str) -> tuple:
        promised, accepted, rev, value = self.get(name)
        return (name, *promised, *accepted, rev, value)

    def rows(self) -> tuple:
        return tuple(self.row(name) for name in sorted(self.table))

    def prepare(self, message: tuple) -> tuple:
        """(answer, row to be made safe before the answer goes out, or None)."""
        _kind, number, name, *ballot = message
        ballot = tuple(ballot)
        promised, accepted, rev, value = self.get(name)
        if not self.votes or ballot < promised:
            return ("promise", number, name, False, self.incarnation, *promised, *accepted, 0, b""), None
        is_new = ballot > promised
        self.table[name] = (ballot, accepted, rev, value)
        answer = ("promise", number, name, True, self.incarnation, *ballot, *accepted, rev, value)
        return answer, (self.row(name) if is_new else None)

    def peek(self, message: tuple) -> tuple:
        """What is accepted here; nothing is promised."""
        _kind, number, name = message
        promised, accepted, rev, value = self.get(name)
        return ("peeked", number, name, self.votes, *promised, *accepted, rev, value)

    def accept(self, message: tuple) -> tuple:
        _kind, number, name, ballot_n, ballot_p, incarnation, rev, value = message
        ballot = (ballot_n, ballot_p)
        promised, accepted, _rev, _value = self.get(name)
        if not self.votes or incarnation != self.incarnation or ballot < promised:
            return ("accepted", number, name, False, *promised), None
        is_new = accepted != ballot
        self.table[name] = (ballot, ballot, rev, value)
        return ("accepted", number, name, True, *ballot), (self.row(name) if is_new else None)

    def refill(self, *, incarnation: str, states: tuple) -> tuple:
        """Takes on the highest promise and value of the intact others; only then votes."""
        for rows in states:
            for name, promised_n, promised_p, accepted_n, accepted_p, rev, value in rows:
                promised, accepted, own_rev, own_value = self.get(name)
                promised = max(promised, (promised_n, promised_p), (accepted_n, accepted_p))
                if (accepted_n, accepted_p) > accepted:
                    accepted, own_rev, own_value = (accepted_n, accepted_p), rev, value
                self.table[name] = (promised, accepted, own_rev, own_value)
        self.incarnation = incarnation
        return self.rows()
