"""Work beside requests: tasks with priorities, budgets and deadlines. Imported by the parts that have any."""
