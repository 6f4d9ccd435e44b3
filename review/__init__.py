"""Cases of an independent review; each shows one fault."""
