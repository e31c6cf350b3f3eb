"""Replicated registers: CASPaxos acceptors and proposers, their write-ahead log, and the catch-up of learners.

`ConsensusNode` combines one `Acceptor`, one `Proposer` and one `WriteAheadLog` for a core node. The protocol is
described in docs/register.md and docs/set-moves.md.
"""
