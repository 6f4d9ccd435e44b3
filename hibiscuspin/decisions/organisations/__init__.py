"""Decisions on organisations: their keys and their shares of the slots."""
