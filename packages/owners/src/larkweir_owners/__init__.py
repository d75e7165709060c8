"""Gives each singleton task ("duty") of a fleet one owner at a time. Import the modules directly: `duty_manager`,
`acceptor_file`, `ports` and so on.
"""
