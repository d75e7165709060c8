"""Singleton tasks of the fleet (duties): one balancer, the owner, does each for all. Not imported where `[owners]` is
off.
"""
