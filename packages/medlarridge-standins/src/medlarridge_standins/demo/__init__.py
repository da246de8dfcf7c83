"""Demonstration of the real binaries at the size that both workloads have today."""
