"""Decisions on placement, retries, server health and crashing requests, without I/O."""
