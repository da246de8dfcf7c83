"""Demo of the real binaries with the current size of both workloads."""
