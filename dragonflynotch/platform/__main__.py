"""Entry point: ``python -m dragonflynotch.platform front|side|evacuations``."""

import signal

# The default action ends the process, also while the other modules are still
# being imported. The program handles the signal once it runs.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from dragonflynotch.platform.command import main  # noqa: E402

if __name__ == '__main__':
    main()
