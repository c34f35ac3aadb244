"""Runs the gateway on the platform: `python -m bitternturn.platform`."""

import os
import signal
import sys
from pathlib import Path

from bitternturn.platform.wire_names import SETTINGS_VARIABLE

EXIT_INVALID = 2


def main() -> int:
    """Run the process and return its exit code."""
    # SIGHUP may arrive before the daemon can reload the settings, and its
    # default action ends the process. The slow imports follow this line.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from bitternturn.platform.process import run

    named = os.environ.get(SETTINGS_VARIABLE)
    if not named:
        sys.stderr.write(f'{SETTINGS_VARIABLE} is not set\n')
        return EXIT_INVALID
    return run(Path(named))


if __name__ == '__main__':
    sys.exit(main())
