"""Budgets across tiers: time, attempts and worth for the whole chain, loops refused. Imported where it is on."""
