"""The operators' command line for the administration interface.

Exit codes: 0 success; 1 failure; 2 usage error; 3 the command succeeded, but
an instance lags or is unhealthy, or a declared bound is exceeded.
"""

import sys
from typing import Any

import fire

from hibiscuspin.commands import COMMANDS, CommandError, Outcome
from hibiscuspin.commands.outcome import EXIT_FAILED
from hibiscuspin.config import ConfigError

__all__ = ["main"]


def main() -> None:
    """Runs `hibiscuspin`."""
    try:
        result = fire.Fire(COMMANDS, name="hibiscuspin", serialize=_serialize)
    except (CommandError, ConfigError, OSError) as error:
        print(f"hibiscuspin: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    sys.exit(result.code if isinstance(result, Outcome) else 0)


def _serialize(result: Any) -> Any:
    return result.printed() if isinstance(result, Outcome) else result


if __name__ == "__main__":
    main()
