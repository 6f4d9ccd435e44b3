"""Reference pages for operators, generated from tables in the code."""
