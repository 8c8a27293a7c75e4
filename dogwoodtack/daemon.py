"""Command line of the daemon, one process per entry host."""

import gc
import sys

from absl import app, flags

from .errors import SettingsError
from .logs import set_up_logs
from .node import Node
from .settings import SETTINGS, load_settings

__all__ = ["run"]

FLAGS = flags.FLAGS
flags.DEFINE_string("config", None, "The INI file with this entry host's settings.")
flags.DEFINE_bool("check", False, "Check the settings, print them and exit.")

EXIT_USAGE = 2


def main(argv: list[str]) -> int:
    """Run an entry host until it is stopped and return its exit code."""
    if len(argv) > 1 or not FLAGS.config:
        print("usage: dogwoodtackd --config FILE [--check]", file=sys.stderr)
        return EXIT_USAGE
    try:
        settings = load_settings(FLAGS.config)
    except SettingsError as exc:
        print(f"dogwoodtackd: {exc}", file=sys.stderr)
        return EXIT_USAGE
    if FLAGS.check:
        print_settings(settings)
        return 0
    set_up_logs(settings.logs_level, node=settings.node_name)
    node = Node(settings)
    node.start_components()
    freeze_heap()
    node.run()
    return node.exit_code


def freeze_heap() -> None:
    """Exclude the objects created at startup from garbage collection.

    A full collection that visits every loaded module blocks the loop for about
    30 ms, and none of these objects becomes garbage while the daemon runs.
    """
    gc.collect()
    gc.freeze()


def print_settings(settings) -> None:
    """Print every setting with its value and origin."""
    for setting in SETTINGS:
        name = f"{setting.section}_{setting.key}"
        value = "***" if setting.key == "access_key" else getattr(settings, name)
        print(
            f"[{setting.section}] {setting.key} = {value}  ({settings.origins[name]})"
        )


def run() -> None:
    """Run the daemon as a program."""
    app.run(main)


if __name__ == "__main__":
    run()
