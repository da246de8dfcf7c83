"""Measurements of the decision parts with a manual clock and fixed seeds."""

from ..report import Report

measure = Report("measure: decision parts, manual clock, fixed seeds")
