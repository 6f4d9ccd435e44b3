"""Tasks that order engines from the platform."""
