"""Contract tests, fault tables and the fault matrix, run by behave."""
