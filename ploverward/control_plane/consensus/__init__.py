"""Replicated registers: CASPaxos acceptors and proposers, their write-ahead log, and how a learner catches up.

`ConsensusNode` puts together one `Acceptor`, one `Proposer` and one `WriteAheadLog` for a core node; its docs are
docs/register.md and docs/set-moves.md.
"""
