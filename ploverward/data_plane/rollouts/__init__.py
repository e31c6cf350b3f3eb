"""Roll-outs at a proxy: which versions a request may go to, and what is counted of them (docs/rollouts.md 3, 4)."""
