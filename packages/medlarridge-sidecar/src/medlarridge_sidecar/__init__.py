"""Sidecar of the medlarridge fleet."""
