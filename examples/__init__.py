"""Example configurations, and a demo that runs one of them."""
