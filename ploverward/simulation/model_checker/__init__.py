"""Exhaustive exploration of the register and of one move of its core set, at small size (docs/set-moves.md).

The real `Acceptor` and `Proposer` take every step here. What is around them (connections, timers, disks, the catch-up
of an emptied node) is an explicit state, so that each state can be copied, compared and continued in every way:

- a request is delivered at any moment, in any order, or never; so a loss needs no step of its own;
- a timer fires at any moment, as long as the writer has attempts left;
- a chosen value is announced to a proposer at any moment, or never;
- a disk is emptied, a catch-up receives one more answer, a process starts again, at any moment within the budget.

States are compared by a canonical form of all that can still matter; breadth first, so the first history that breaks
an invariant is a shortest one. Three things are left out since they can only be rejected, which a connection that
loses everything does as well: a prepare of an attempt that is over, an accept that can't be accepted any more and
whose attempt is over, an answer to an attempt that is over. Where `is_split` is not set, a request and its answer are
one step.

`scenario` and `scenarios` say what is explored, `start`, `state` and `moves` what can happen, `writers` and `nodes`
what a step does to one proposer or node, `invariants` what must be true. `search` goes through all states, `mutants`
and `faults` are seeded bugs that have to be found. `product` and `outside` know the product's classes, `live_objects`
copies and compares them.

Command: python3 -m ploverward.simulation.model_checker [--budget small|large|planted] [--scenario NAME] [--states N]
"""
