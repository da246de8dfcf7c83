"""Benchmarks of the cost per unit of work on this machine."""

from ..report import Report

capacity = Report("capacity: cost per unit of work on this machine")
