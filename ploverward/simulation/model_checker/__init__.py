"""Exhaustive model checker for the register and for one move of its core set, with few nodes (docs/set-moves.md).

The real `Acceptor` and `Proposer` execute every step. Their environment (connections, timers, disks, the catch-up of
a node that lost its disk) is an explicit state, so that each state can be copied, compared and continued in every
possible way:

- a request is delivered at any moment, in any order, or never, so the loss of a message needs no step of its own;
- a timer fires at any moment, as long as the writer has attempts left;
- a chosen value is announced to a proposer at any moment, or never;
- a disk is wiped, a catch-up receives one more answer, or a process restarts at any moment within the budget.

States are compared by a canonical form of everything that can still affect later steps. The search is breadth first,
so the first history that violates an invariant is a shortest one. Three kinds of messages are left out, because they
can only be rejected, which has the same effect as their loss: a prepare of an attempt that is over, an accept of an
attempt that is over and that can no longer be accepted, and an answer to an attempt that is over. Unless a
scenario sets `is_split`, a request and its answer are one step.

Modules: `scenario` and `scenarios` define what is explored; `start`, `state` and `moves` define the states and their
transitions; `writers` and `nodes` compute what a step does to one proposer or node; `invariants` checks every step.
`search` visits all states. `mutants` and `faults` contain seeded bugs that the search has to find. `product` and
`outside` adapt the classes under test to the checker; `live_objects` copies and compares their objects.

Command: python3 -m ploverward.simulation.model_checker [--budget small|large|planted] [--scenario NAME] [--states N]
"""
