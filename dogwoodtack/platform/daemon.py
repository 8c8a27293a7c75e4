"""Program of the entry host on the platform."""

import gc
import os
import sys

from absl import app, flags

from ..calls import Client
from ..entry import EntryHost, PlatformAdapter
from ..errors import SettingsError
from ..logs import log_event, set_up_logs
from ..misc import Address
from .directory import encode_addresses, parse_query
from .headers import HEADERS
from .objects import ObjectStore
from .settings import SETTINGS_VARIABLE, load_entry_settings
from .source import PlatformSource

__all__ = ["run"]

FLAGS = flags.FLAGS
flags.DEFINE_bool("check_settings", False, "Check the settings, print them and exit.")
flags.DEFINE_string("log_level", "INFO", "The least severe level that is written.")

EXIT_USAGE = 2
# Most store calls take milliseconds, slow ones some tenths of a second.
STORE_TIMEOUT_S = 1.0


def make_source(client: Client, address: Address) -> PlatformSource:
    """Return the source that reads from the platform's store."""
    return PlatformSource(ObjectStore(client, address, STORE_TIMEOUT_S))


def main(argv: list[str]) -> int:
    """Run an entry host until it is stopped, and return the exit code."""
    try:
        settings = load_entry_settings()
    except SettingsError as exc:
        print(f"dogwoodtack: {exc}", file=sys.stderr)
        return EXIT_USAGE
    if FLAGS.check_settings:
        for name, value in settings._asdict().items():
            print(f"{name} = {value}")
        return 0
    sink = set_up_logs(FLAGS.log_level, stream=sys.stdout, node=settings.name)
    adapter = PlatformAdapter(
        header_names=HEADERS,
        make_source=make_source,
        parse_query=parse_query,
        encode_addresses=encode_addresses,
        load_settings=load_entry_settings,
        settings_path=os.environ.get(SETTINGS_VARIABLE),
    )
    host = EntryHost(settings, adapter, sink)
    host.begin()
    gc.collect()
    gc.freeze()
    host.run()
    log_event("ended")
    sink.flush()
    return 0


def run() -> None:
    """Run the program and exit."""
    app.run(main)
