"""Protocol-independent requests, answers and attempts: dispatcher, clock, memory budget, ports."""
