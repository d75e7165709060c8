"""Experiments with fleets in simulated time, with the real decision module. Never imported by the serving process."""
