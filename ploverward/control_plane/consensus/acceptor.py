"""The acceptor of the register (docs/register.md 1). Pure: messages in, messages out, rows to be made safe first."""

from ploverward.control_plane.consensus import ballots

EMPTY = (ballots.NONE, ballots.NONE, 0, b"")


class Acceptor:
    """What one node has promised and accepted. It votes once it has an incarnation, a name of its own for each disk."""

    def __init__(self, *, incarnation: str = "", rows: dict | None = None):
        self.incarnation = incarnation
        self.table = {}  # register: (promised, accepted, rev, value)
        self.install(rows=(rows or {}).values())

    @property
    def votes(self) -> bool:
        return bool(self.incarnation)

    def install(self, *, rows) -> None:
        """Puts these rows in place of those held."""
        for row in rows:
            self.table[row[0]] = ((row[1], row[2]), (row[3], row[4]), row[5], row[6])

    def get(self, name: str) -> tuple:
        return self.table.get(name, EMPTY)

    def row(self, name: str) -> tuple:
        promised, accepted, rev, value = self.get(name)
        return (name, *promised, *accepted, rev, value)

    def rows(self, *, known=None) -> tuple:
        """A row a register. `known`: accepted ballots whose values are left out."""
        rows = tuple(self.row(name) for name in sorted(self.table))
        return tuple((*row[:6], b"") if known and known.get(row[0]) == (row[3], row[4]) else row for row in rows)

    def prepare(self, message: tuple) -> tuple:
        """(answer, row to be made safe before the answer goes out, or None)."""
        _kind, number, name, ballot_n, ballot_p, *known = message
        ballot = (ballot_n, ballot_p)
        promised, accepted, rev, value = self.get(name)
        if not self.votes or ballot < promised:
            return self.refuse_prepare(message), None
        is_new = ballot > promised
        self.table[name] = (ballot, accepted, rev, value)
        sent_value = b"" if tuple(known) == accepted else value
        answer = ("promise", number, name, True, self.incarnation, *ballot, *accepted, rev, sent_value)
        return answer, (self.row(name) if is_new else None)

    def refuse_prepare(self, message: tuple) -> tuple:
        """Nothing is promised; the ballots tell the proposer where to begin next time."""
        promised, accepted, _rev, _value = self.get(message[2])
        return ("promise", message[1], message[2], False, self.incarnation, *promised, *accepted, 0, b"")

    def quorum_read(self, message: tuple) -> tuple:
        """What is accepted here; nothing is promised. A value that the reader holds already is left out."""
        _kind, number, name, *known = message
        promised, accepted, rev, value = self.get(name)
        sent_value = b"" if tuple(known) == accepted else value
        return ("peeked", number, name, self.votes, *promised, *accepted, rev, sent_value)

    def accept(self, message: tuple) -> tuple:
        """(answer, row to be made safe before the answer goes out, or None)."""
        _kind, number, name, ballot_n, ballot_p, incarnation, rev, value = message
        ballot = (ballot_n, ballot_p)
        promised, accepted, _rev, _value = self.get(name)
        if not self.votes or incarnation != self.incarnation or ballot < promised:
            return self.refuse_accept(message), None
        is_new = accepted != ballot
        self.table[name] = (ballot, ballot, rev, value)
        return ("accepted", number, name, True, *ballot), (self.row(name) if is_new else None)

    def refuse_accept(self, message: tuple) -> tuple:
        return ("accepted", message[1], message[2], False, *self.get(message[2])[0])

    def fence(self, *, name: str, ballot: tuple):
        """Promises at least this ballot, so that nothing below it is accepted any more. The new row, or None."""
        promised, accepted, rev, value = self.get(name)
        if ballot <= promised:
            return None
        self.table[name] = (ballot, accepted, rev, value)
        return self.row(name)

    def catch_up(self, *, incarnation: str, states: tuple) -> tuple:
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
