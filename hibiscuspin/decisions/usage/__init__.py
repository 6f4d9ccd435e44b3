"""Decisions on usage reports: windows of true time and their counts."""
