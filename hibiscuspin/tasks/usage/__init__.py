"""Tasks that count requests and report them to the platform."""
