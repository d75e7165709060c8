"""Rules: one owner at a time for each duty of a fleet; what must be imported is imported by module."""
