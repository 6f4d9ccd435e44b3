"""Supervised tasks that own their sockets and state and exchange messages."""
