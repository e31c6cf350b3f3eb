"""Roll-outs of a service's software: orders, state, evidence, the judge and the stages (docs/rollouts.md)."""
