"""The other balancers of a fleet. Not imported where `[peers]` is off."""
