"""Clients of targets, created on first use."""

import threading

from hibiscuspin.edges import Engine, PlainService
from hibiscuspin.edges.engine import HttpEngine
from hibiscuspin.edges.service import HttpService

__all__ = ["Clients"]


class Clients:
    """One client per address; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._engines_by_address: dict[str, Engine] = {}
        self._services_by_address: dict[str, PlainService] = {}

    def engine(self, address: str) -> Engine:
        """Returns the client of the engine at an address."""
        with self._lock:
            engine = self._engines_by_address.get(address)
            if engine is None:
                engine = HttpEngine.from_address(address)
                self._engines_by_address[address] = engine
            return engine

    def service(self, address: str) -> PlainService:
        """Returns the client of the service replica at an address."""
        with self._lock:
            service = self._services_by_address.get(address)
            if service is None:
                service = HttpService.from_address(address)
                self._services_by_address[address] = service
            return service
