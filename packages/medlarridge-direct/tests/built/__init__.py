"""Tests of the program as it is built and started for deployment."""
