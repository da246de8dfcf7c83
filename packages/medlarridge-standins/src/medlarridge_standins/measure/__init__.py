"""Simulations of the decision classes with a manual clock and fixed seeds."""

from ..report import Report

measure = Report("measure: decision classes, manual clock, fixed seeds")
