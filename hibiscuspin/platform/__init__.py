"""The adapter to the platform that instances run on.

It translates names, formats and calls, and decides nothing. No other
package knows the platform's names.
"""
