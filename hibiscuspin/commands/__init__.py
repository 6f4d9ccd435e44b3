"""The operators' commands, one module for each group."""

from hibiscuspin.commands.config import ConfigCommands
from hibiscuspin.commands.instances import doctor, duties, explain, status
from hibiscuspin.commands.outcome import CommandError, Outcome
from hibiscuspin.commands.reports import report
from hibiscuspin.commands.targets import drain, targets, undrain
from hibiscuspin.commands.trace import trace

__all__ = ["COMMANDS", "CommandError", "Outcome"]

COMMANDS = {
    "config": ConfigCommands,
    "status": status,
    "targets": targets,
    "drain": drain,
    "undrain": undrain,
    "duties": duties,
    "explain": explain,
    "doctor": doctor,
    "report": report,
    "trace": trace,
}
