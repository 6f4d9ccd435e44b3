"""Decisions on the prompts and the memory of engines."""
