"""The adapter to the platform that instances run on.

It translates names, formats and calls, and makes no decisions. The platform's
names occur in no other package.
"""
