"""Storms after an outage: told, damped, and answered with word when to come back. Off without its table."""
