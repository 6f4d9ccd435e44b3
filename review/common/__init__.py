"""What the cases of the review share: processes, stand-ins and records."""
