"""Simulated components, trials and measurements for the medlarridge fleet."""
