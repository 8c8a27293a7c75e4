"""Start an entry host on the platform, from the repository's root."""

import signal

# Ends the process until the host handles it, which is ready for it after its imports;
# the settings are read after them, too.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from dogwoodtack.platform.daemon import run  # noqa: E402

if __name__ == "__main__":
    run()
