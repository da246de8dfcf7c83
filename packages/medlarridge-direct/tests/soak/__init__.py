"""Randomized soak: real routers, stand-ins of the platform, faults from outside."""
