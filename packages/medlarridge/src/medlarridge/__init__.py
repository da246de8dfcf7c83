"""Coordination library of the medlarridge router fleet."""

__version__ = "0.1.0"
