"""Decisions: placement, load, retries, health, crashing requests. No I/O."""
