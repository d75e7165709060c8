"""The real program under simulated time and a faulty network, many processes of it to one world."""
