"""One owner at a time for each singleton task ("duty") of a fleet. Import by module: `duty_manager`, `acceptor_file`,
`ports` and so on.
"""
