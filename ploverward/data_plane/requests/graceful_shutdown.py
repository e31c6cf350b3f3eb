"""What a proxy that was told to end still takes (design 9): nothing that it may have to give up."""

ACCEPT_UNTIL_S = 2.8  # after SIGTERM: the protocol's clients have other addresses by 3 s, less a way and a look-up
ACCEPT_UNTIL_SHARE = 0.35  # of graceS: the same where that is shorter
END_SHARE = 0.92  # of graceS: from there on the process ends, whatever is under way


class DrainWindow:
    """The time of a process between SIGTERM and its end."""

    def __init__(self, *, now, grace_s: float):
        self._now = now
        self._grace_s = grace_s
        self._begun_at = None

    def begin(self) -> None:
        """SIGTERM. A second one changes nothing."""
        if self._begun_at is None:
            self._begun_at = self._now()

    def may_accept(self, *, deadline: float) -> bool:
        """Whether a request that comes now is taken. Late ones are only if their time ends before this process does:
        its client goes to another node at once, while one that is cut off later is lost."""
        if self._begun_at is None:
            return True
        late_from = self._begun_at + min(ACCEPT_UNTIL_S, self._grace_s * ACCEPT_UNTIL_SHARE)
        return self._now() < late_from or deadline <= self._begun_at + self._grace_s * END_SHARE
