"""Randomized fault-injection soak of real routers against a simulated platform."""
