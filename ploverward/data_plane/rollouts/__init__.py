"""Roll-outs at a proxy: routes requests to versions and counts their outcomes (docs/rollouts.md 3, 4)."""
