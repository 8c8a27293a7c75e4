"""Run the daemon under cProfile and write a report, for the benchmark."""

import cProfile
import os
import pstats
import sys

from absl import app

from dogwoodtack import daemon

__all__: list[str] = []

MAX_FUNCTIONS = 45


def main(argv: list[str]) -> int:
    """Run the daemon; the report goes to the file that LAB_PROFILE names."""
    profile = cProfile.Profile()
    try:
        return profile.runcall(daemon.main, argv)
    finally:
        with open(os.environ["LAB_PROFILE"], "w") as file:
            pstats.Stats(profile, stream=file).sort_stats("tottime").print_stats(
                MAX_FUNCTIONS
            )


if __name__ == "__main__":
    sys.exit(app.run(main))
