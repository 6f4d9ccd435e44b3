"""Decisions on how many engines to order, and where."""
