"""Measurements that another person can run: a command each, its figure on the last line."""
